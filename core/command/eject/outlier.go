package eject

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
)

// ejectOutliers ejects active targets whose latency is far above the median, the slowest first. It
// needs at least three targets with enough samples.
func (t *Tracker) ejectOutliers(now clock.Millis) {
	var candidates []*peer
	for _, p := range t.peers {
		if _, ok := p.state.(active); ok && p.samples >= MinSamples {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) < 3 {
		return
	}
	slices.SortFunc(candidates, func(a, b *peer) int { return cmp.Compare(b.latency, a.latency) })
	limit := max(MinOutlierLatency, OutlierFactor*candidates[len(candidates)/2].latency)
	for _, p := range candidates {
		if p.latency <= limit || !t.ejectionAllowed() {
			return
		}
		t.eject(p, now)
	}
}
