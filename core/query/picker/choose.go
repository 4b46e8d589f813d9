// Package choose picks a target of a pooled service: the less loaded of two random ones,
// those of the near availability zone first.
//
// Load is what this daemon sees itself: its own requests in flight there and the
// latency of their answers. Health and load reports of targets lag and mislead, so they
// are not asked. Two choices keep many daemons from running to the same target (M. Mitzenmacher,
// "The Power of Two Choices in Randomized Load Balancing", 2001).
package picker

import "verbenabank/core/state/table"

const (
	// Spill is by how much a target elsewhere must be less loaded than the near one
	// to be taken instead.
	Spill = 2.0
	// draws is how many random members are looked at before all are.
	draws = 8
)

// Stats is what is known of one target.
type Stats struct {
	inFlight int
	latency  float64
	share    float64
}

// NewStats returns the view of a target with requests of this daemon in flight there, mean
// latency in milliseconds, and the share of its normal work that it should get, from 0
// (none) to 1.
func NewStats(inFlight int, latency, share float64) Stats {
	return Stats{inFlight: inFlight, latency: latency, share: share}
}

// InFlight returns the requests of this daemon in flight there.
func (v Stats) InFlight() int { return v.inFlight }

// Latency returns the mean latency in milliseconds.
func (v Stats) Latency() float64 { return v.latency }

// Share returns the share of its normal work that the target should get.
func (v Stats) Share() float64 { return v.share }

// score is the expected cost of one more request.
func (v Stats) score() float64 {
	return float64(v.inFlight+1) * (v.latency + 1) / v.share
}

// Pick returns a member of all. It prefers those of near, a part of all, and skips those
// with share 0. draw returns a random number from 0 to n-1. It reports false if every
// share is 0.
func Pick(near, all []table.Member, view func(table.Member) Stats, draw func(n int) int) (table.Member, bool) {
	p := picker{view: view, draw: draw}
	n, nearScore, ok := p.best(near)
	a, allScore, any := p.best(all)
	switch {
	case !any:
		return p.scan(all)
	case ok && nearScore <= Spill*allScore:
		return n, true
	default:
		return a, true
	}
}

type picker struct {
	view func(table.Member) Stats
	draw func(n int) int
}

// best returns the less loaded of two random members with a share.
func (p picker) best(list []table.Member) (best table.Member, score float64, ok bool) {
	if len(list) == 0 {
		return best, 0, false
	}
	found := 0
	for i := 0; i < draws && found < 2; i++ {
		m := list[p.draw(len(list))]
		v := p.view(m)
		if v.share <= 0 || (ok && m.Incarnation() == best.Incarnation()) {
			continue
		}
		found++
		if s := v.score(); !ok || s < score {
			best, score, ok = m, s, true
		}
	}
	return best, score, ok
}

// scan looks at every member, from a random one on.
func (p picker) scan(list []table.Member) (table.Member, bool) {
	if len(list) == 0 {
		return table.Member{}, false
	}
	start := p.draw(len(list))
	for i := range list {
		m := list[(start+i)%len(list)]
		if p.view(m).share > 0 {
			return m, true
		}
	}
	return table.Member{}, false
}
