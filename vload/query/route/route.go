// Package route selects servers for the baseline routing policies that the daemons
// are compared with.
package route

import (
	"github.com/cespare/xxhash/v2"

	"verbenabank/vload/state/plan"
)

// Pick returns the index, below count, of the server for an attempt of a request.
// Attempts are counted from 0, sequence is the number of the request in its run, and
// draw is uniform in [0, 1) and drawn anew for each attempt.
func Pick(r plan.Routing, key string, count, sequence, attempt int, draw float64) int {
	switch r.(type) {
	case plan.Daemons, plan.RoundRobin:
		return (sequence + attempt) % count
	case plan.Modulo:
		return int((xxhash.Sum64String(key) + uint64(attempt)) % uint64(count))
	case plan.Random:
		return min(int(draw*float64(count)), count-1)
	}
	return 0
}
