// Package pace says how long a stand-in target takes to serve a request.
package timing

import (
	"math"
	"time"

	"verbenabank/core/clock"
	"verbenabank/vload/state/server"
)

// ServiceTime returns the time to serve a request with the HTTP method on a target
// that has been up for age and is slowed down by factor. The draw is uniform in
// [0, 1).
func ServiceTime(b server.Behavior, method string, age clock.Millis, factor, draw float64) time.Duration {
	mean := float64(b.ServiceTime(method).Duration()) * factor
	if age < b.ColdDuration() {
		mean *= b.ColdSlowdown()
	}
	switch b.Distribution().(type) {
	case server.Fixed:
		return time.Duration(mean)
	case server.Exponential:
		return time.Duration(-mean * math.Log1p(-draw))
	}
	return time.Duration(mean)
}
