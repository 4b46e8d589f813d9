// Package timing computes the simulated service times of a stand-in target.
package timing

import (
	"math"
	"time"

	"verbenabank/core/clock"
	"verbenabank/vload/state/server"
)

// ServiceTime returns the service time of a request with the HTTP method on a target that
// started age ago. slowdown multiplies the mean, and draw is uniform in [0, 1).
func ServiceTime(b server.Behavior, method string, age clock.Millis, slowdown, draw float64) time.Duration {
	mean := float64(b.ServiceTime(method).Duration()) * slowdown
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
