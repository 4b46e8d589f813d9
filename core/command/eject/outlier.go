package eject

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
)

// ejectOutliers ejects targets that answer far slower than their peers, the slowest first.
func (t *Tracker) ejectOutliers(now clock.Millis) {
	var known []*peer
	for _, p := range t.peers {
		if _, ok := p.state.(active); ok && p.samples >= MinSamples {
			known = append(known, p)
		}
	}
	if len(known) < 3 {
		return
	}
	slices.SortFunc(known, func(a, b *peer) int { return cmp.Compare(b.latency, a.latency) })
	limit := max(MinOutlierLatency, OutlierFactor*known[len(known)/2].latency)
	for _, p := range known {
		if p.latency <= limit || !t.ejectionAllowed() {
			return
		}
		t.eject(p, now)
	}
}
