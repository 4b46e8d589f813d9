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

// throttle keeps requests for keys from owners that have too little processor time. It is safe for concurrent use.
type throttle struct {
	clock *clock.Clock

	mu       sync.Mutex
	throttle *press.Throttle
}

func newThrottle(c *clock.Clock) *throttle {
	return &throttle{clock: c, throttle: press.NewThrottle(func(limit clock.Millis) clock.Millis { return rand.N(limit) })}
}

// check returns the refusal of a request that is kept from the owner, and whether it is.
func (t *throttle) check(owner table.Incarnation) (call.Reply, bool) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch d := t.throttle.Check(owner, now).(type) {
	case press.Admitted:
		return nil, false
	case press.HeldOff:
		return call.NewFailure(result.NewRefused(result.Overloaded, d.Left())), true
	}
	return nil, false
}

// record takes the hold-off of a reply of the owner. A request without one, since it timed out or the owner was not
// reached, changes nothing: an owner without processor time answers late.
func (t *throttle) record(owner table.Incarnation, reply call.Reply) {
	holdOff, replied := holdOffOf(reply)
	if !replied {
		return
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.throttle.Record(owner, holdOff, now)
}

// holdOffOf returns the hold-off in a reply, and whether the owner has replied.
func holdOffOf(reply call.Reply) (clock.Millis, bool) {
	f, failed := reply.(call.Failure)
	if !failed {
		return 0, true
	}
	r, refused := f.Outcome().(result.Refused)
	if !refused {
		return 0, false
	}
	switch r.Reason() {
	case result.Overloaded, result.Shed, result.NotHeld, result.NotOwner:
		return r.HoldOff(), true
	case result.BadRequest, result.UnknownService, result.UnknownRoute, result.TooLarge, result.HeadTooLarge, result.Expired,
		result.TimedOut, result.Interrupted, result.Truncated, result.Mismatched, result.LeaseLapsed, result.Cancelled,
		result.NotReady, result.NoOwner, result.NoTarget, result.Leaving, result.Unreachable, result.ZoneDrained:
		return r.HoldOff(), r.HoldOff() > 0
	}
	return 0, false
}
