package press

import (
	"maps"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// maxOwners is how many owners are remembered.
const maxOwners = 1024

// Valve is the other daemons' side: it keeps requests from owners that asked for it. It is not safe for concurrent use.
type Valve struct {
	random func(limit clock.Millis) clock.Millis
	owners map[table.Incarnation]*closure
}

// closure is the hold-off of one owner.
type closure struct {
	holdOff clock.Millis
	until   clock.Millis
}

// NewValve returns a valve that is open to all owners. random returns a random duration below a limit.
func NewValve(random func(limit clock.Millis) clock.Millis) *Valve {
	return &Valve{random: random, owners: map[table.Incarnation]*closure{}}
}

// Verdict says what becomes of a request: Passed or Kept.
type Verdict interface{ verdict() }

// Passed requests are sent to the owner.
type Passed struct{}

// Kept requests are not sent to the owner.
type Kept struct{ left clock.Millis }

// Left returns how long the owner gets no requests yet.
func (k Kept) Left() clock.Millis { return k.left }

func (Passed) verdict() {}
func (Kept) verdict()   {}

// Check decides on a request. During a hold-off one request passes in each interval of its length.
func (v *Valve) Check(owner table.Incarnation, now clock.Millis) Verdict {
	c, ok := v.owners[owner]
	switch {
	case !ok:
		return Passed{}
	case now < c.until:
		return Kept{left: c.until - now}
	}
	c.until = now + v.jitter(c.holdOff)
	return Passed{}
}

// Record takes the hold-off in an owner's latest reply, 0 for none: an owner that serves requests asks for none.
func (v *Valve) Record(owner table.Incarnation, holdOff, now clock.Millis) {
	c, ok := v.owners[owner]
	switch {
	case holdOff == 0:
		delete(v.owners, owner)
	case ok:
		c.holdOff = holdOff
	default:
		v.add(owner, &closure{holdOff: holdOff, until: now + v.jitter(holdOff)}, now)
	}
}

// add remembers an owner. If there are too many, it forgets those that nobody has asked lately.
func (v *Valve) add(owner table.Incarnation, c *closure, now clock.Millis) {
	if len(v.owners) >= maxOwners {
		maps.DeleteFunc(v.owners, func(_ table.Incarnation, c *closure) bool { return now > c.until+MaxHoldOff })
	}
	if len(v.owners) < maxOwners {
		v.owners[owner] = c
	}
}

// jitter varies a hold-off by plus or minus one half, so that the daemons do not ask at the same time.
func (v *Valve) jitter(holdOff clock.Millis) clock.Millis {
	return holdOff/2 + v.random(max(1, holdOff))
}
