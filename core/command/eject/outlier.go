package eject

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
)

// outliers ejects targets that answer far slower than their peers, the slowest first.
func (t *Tracker) outliers(now clock.Millis) {
	var known []*peer
	for _, p := range t.peers {
		if _, ok := p.standing.(active); ok && p.samples >= Samples {
			known = append(known, p)
		}
	}
	if len(known) < 3 {
		return
	}
	slices.SortFunc(known, func(a, b *peer) int { return cmp.Compare(b.latency, a.latency) })
	limit := max(OutlierFloor, Outlier*known[len(known)/2].latency)
	for _, p := range known {
		if p.latency <= limit || !t.mayEject() {
			return
		}
		t.eject(p, now)
	}
}
