// Package picker picks a target of a pooled service, by one of two policies.
//
// LeastLatency takes the less loaded of two random targets, with a preference for the local
// availability zone. Load is measured by this daemon alone: its own requests in flight at the
// target and the latency of their responses. ExpectedWork takes the target with the earliest
// expected completion among some random ones; what targets have left to do, as reported, is given
// by the caller. Random choices keep many daemons from converging on the same target (M.
// Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
package picker

import "verbenabank/core/state/table"

const (
	// CrossZoneFactor is how many times the cost of a local target must exceed that of one in
	// any zone before the latter is picked.
	CrossZoneFactor = 2.0
	// maxSamples is the maximum number of random members that are sampled for two eligible ones.
	// If none is found, all members are scanned.
	maxSamples = 8
)

// Stats is what this daemon knows of the load of one target.
type Stats struct {
	inFlight int
	latency  float64
	share    float64

	errorRate float64
}

// NewStats returns the statistics of a target: the requests of this daemon in flight there, their
// mean latency in milliseconds, and the fraction of its normal load that it should get, from 0
// (none) to 1.
func NewStats(inFlight int, latency, share float64) Stats {
	return Stats{inFlight: inFlight, latency: latency, share: share}
}

// WithErrorRate sets the share of requests that the target fails, from 0 to 1.
func (s Stats) WithErrorRate(rate float64) Stats {
	s.errorRate = rate
	return s
}

// ErrorRate returns the share of requests that the target fails, from 0 to 1.
func (s Stats) ErrorRate() float64 { return s.errorRate }

// InFlight returns the number of requests of this daemon in flight at the target.
func (s Stats) InFlight() int { return s.inFlight }

// Latency returns the mean latency of the target in milliseconds.
func (s Stats) Latency() float64 { return s.latency }

// Share returns the fraction of its normal load that the target should get, from 0 to 1.
func (s Stats) Share() float64 { return s.share }

// cost returns the expected cost of one more request: its latency, given the requests in flight,
// divided by the share.
func (s Stats) cost() float64 {
	return float64(s.inFlight+1) * (s.latency + 1) / s.share
}

// Pick chooses one of all members. It prefers those of local, a subset of all, and skips those with
// share 0. randIntN returns a random number from 0 to n-1. It reports false if every share is 0.
func Pick(local, all []table.Member, statsOf func(table.Member) Stats, randIntN func(n int) int) (table.Member, bool) {
	s := sampler{statsOf: statsOf, randIntN: randIntN}
	l, localCost, ok := s.lessLoaded(local)
	a, anyCost, found := s.lessLoaded(all)
	switch {
	case !found:
		return s.firstEligible(all)
	case ok && localCost <= CrossZoneFactor*anyCost:
		return l, true
	default:
		return a, true
	}
}

type sampler struct {
	statsOf  func(table.Member) Stats
	randIntN func(n int) int
}

// lessLoaded returns the less loaded of two random members whose share is above 0, and its cost.
// It reports false if maxSamples samples contain none.
func (s sampler) lessLoaded(list []table.Member) (best table.Member, cost float64, ok bool) {
	if len(list) == 0 {
		return best, 0, false
	}
	eligible := 0
	for i := 0; i < maxSamples && eligible < 2; i++ {
		m := list[s.randIntN(len(list))]
		v := s.statsOf(m)
		if v.share <= 0 || (ok && m.Incarnation() == best.Incarnation()) {
			continue
		}
		eligible++
		if c := v.cost(); !ok || c < cost {
			best, cost, ok = m, c, true
		}
	}
	return best, cost, ok
}

// firstEligible returns the first member whose share is above 0, starting at a random position.
func (s sampler) firstEligible(list []table.Member) (table.Member, bool) {
	if len(list) == 0 {
		return table.Member{}, false
	}
	start := s.randIntN(len(list))
	for i := range list {
		m := list[(start+i)%len(list)]
		if s.statsOf(m).share > 0 {
			return m, true
		}
	}
	return table.Member{}, false
}
