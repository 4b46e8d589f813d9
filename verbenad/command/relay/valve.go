package relay

import (
	"math/rand/v2"
	"sync"

	"verbenabank/core/clock"
	"verbenabank/core/command/press"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/table"
)

// valve keeps requests for keys from owners that have too little processor time. It is safe for concurrent use.
type valve struct {
	clock *clock.Clock

	mu    sync.Mutex
	valve *press.Valve
}

func newValve(c *clock.Clock) *valve {
	return &valve{clock: c, valve: press.NewValve(func(limit clock.Millis) clock.Millis { return rand.N(limit) })}
}

// check returns the refusal of a request that is kept from the owner, and whether it is.
func (v *valve) check(owner table.Incarnation) (call.Reply, bool) {
	now := v.clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	switch d := v.valve.Check(owner, now).(type) {
	case press.Passed:
		return nil, false
	case press.Kept:
		return call.NewFailure(result.NewRefused(result.Overloaded, d.Left())), true
	}
	return nil, false
}

// record takes the hold-off of a reply.
func (v *valve) record(owner table.Incarnation, reply call.Reply) {
	holdOff, now := clock.Millis(0), v.clock.Now()
	if f, failed := reply.(call.Failure); failed {
		if r, refused := f.Outcome().(result.Refused); refused {
			holdOff = r.HoldOff()
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.valve.Record(owner, holdOff, now)
}
