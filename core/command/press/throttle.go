package press

import (
	"maps"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// maxOwners is how many owners are remembered.
const maxOwners = 1024

// Throttle is the other daemons' side: it keeps requests from owners that asked for it. It is not safe for concurrent use.
type Throttle struct {
	random func(limit clock.Millis) clock.Millis
	owners map[table.Incarnation]*holdOffState
}

// holdOffState is the hold-off of one owner.
type holdOffState struct {
	holdOff clock.Millis
	until   clock.Millis
}

// NewThrottle returns a throttle that holds nothing off. random returns a random duration below a limit.
func NewThrottle(random func(limit clock.Millis) clock.Millis) *Throttle {
	return &Throttle{random: random, owners: map[table.Incarnation]*holdOffState{}}
}

// Verdict says what becomes of a request: Admitted or HeldOff.
type Verdict interface{ verdict() }

// Admitted requests are sent to the owner.
type Admitted struct{}

// HeldOff requests are not sent to the owner.
type HeldOff struct{ left clock.Millis }

// Left returns how long the owner gets no requests yet.
func (h HeldOff) Left() clock.Millis { return h.left }

func (Admitted) verdict() {}
func (HeldOff) verdict()  {}

// Check decides on a request. During a hold-off one request passes in each interval of its length.
func (t *Throttle) Check(owner table.Incarnation, now clock.Millis) Verdict {
	s, ok := t.owners[owner]
	switch {
	case !ok:
		return Admitted{}
	case now < s.until:
		return HeldOff{left: s.until - now}
	}
	s.until = now + t.jitter(s.holdOff)
	return Admitted{}
}

// Record takes the hold-off in an owner's latest reply, 0 for none: an owner that serves requests asks for none. It
// counts as MaxHoldOff at most.
func (t *Throttle) Record(owner table.Incarnation, holdOff, now clock.Millis) {
	holdOff = min(holdOff, MaxHoldOff)
	s, ok := t.owners[owner]
	switch {
	case holdOff <= 0:
		delete(t.owners, owner)
	case ok:
		s.holdOff = holdOff
	default:
		t.add(owner, &holdOffState{holdOff: holdOff, until: now + t.jitter(holdOff)}, now)
	}
}

// add remembers an owner. If there are too many, it forgets those that nobody has asked lately.
func (t *Throttle) add(owner table.Incarnation, s *holdOffState, now clock.Millis) {
	if len(t.owners) >= maxOwners {
		maps.DeleteFunc(t.owners, func(_ table.Incarnation, s *holdOffState) bool { return now > s.until+MaxHoldOff })
	}
	if len(t.owners) < maxOwners {
		t.owners[owner] = s
	}
}

// jitter varies a hold-off by plus or minus one half, so that the daemons do not ask at the same time.
func (t *Throttle) jitter(holdOff clock.Millis) clock.Millis {
	return holdOff/2 + t.random(max(1, holdOff))
}
