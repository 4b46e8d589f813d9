// Package route chooses servers for the baselines that the daemons are compared
// with.
package route

import (
	"github.com/cespare/xxhash/v2"

	"verbenabank/vload/state/plan"
)

// Pick returns the index of the server among count for attempt number attempt,
// counted from 0, of the request with a key. The sequence is the number of the
// request in its run, and the draw is uniform in [0, 1) and new for each attempt.
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
