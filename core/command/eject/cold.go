package eject

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

const (
	// coldShare is the share of a target that was last reported as cold. Most other daemons send requests to it too.
	coldShare = 0.25
	// fullTime is for how long a cold target gets no requests that has reported that it takes no more.
	fullTime = 300 * clock.Millisecond
)

// RecordCold records what a reply says about a cold start of the target; the zero value says that it is not known to be
// cold.
func (t *Tracker) RecordCold(i table.Incarnation, c load.ColdStart, now clock.Millis) {
	p, ok := t.peers[i]
	if !ok {
		return
	}
	p.coldUntil, p.fullUntil = now+c.Left(), now
	if c.Left() > 0 && c.Admits() == 0 {
		p.fullUntil = now + min(fullTime, c.Left())
	}
}

// coldShare returns the factor by which a cold start reduces the share of the target, 1 if it is not known to be cold.
func (p *peer) coldShare(now clock.Millis) float64 {
	switch {
	case now < p.fullUntil:
		return 0
	case now < p.coldUntil:
		return coldShare
	default:
		return 1
	}
}
