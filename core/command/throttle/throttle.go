// Package throttle refuses requests for keys whose owner would refuse most of them, without asking it
// (adaptive throttling). A key that more requests come for than one target can serve would otherwise take all
// the processor time of its owner's daemon for refusals, and with it the other keys of that target.
//
// A request is refused with a probability that leaves the owner four times as many as it has accepted lately, so
// that it goes on choosing, and so that it is noticed when it accepts more.
package throttle

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/result"
	"verbenabank/core/state/table"
)

const (
	// Window is the span of time of the requests that count; the oldest fade out over as long.
	Window = 1 * clock.Second
	// MinRequests is how many requests for a key must count before any is refused.
	MinRequests = 5
	// Headroom is how many requests the owner is sent for each that it accepts.
	Headroom = 4
	// maxKeys is how many keys are remembered. Beyond it, requests for further ones are not throttled.
	maxKeys = 4096
)

// Key identifies the requests of a priority for a key of a service at one owner.
type Key struct {
	service  string
	key      string
	owner    table.Incarnation
	priority int
}

// NewKey returns the identity of requests.
func NewKey(service, key string, owner table.Incarnation, priority int) Key {
	return Key{service: service, key: key, owner: owner, priority: priority}
}

// Throttle counts the requests of overloaded keys. It is not safe for concurrent use.
type Throttle struct{ keys map[Key]*counts }

// counts are the numbers of one key, in the current window and the one before.
type counts struct {
	start                    clock.Millis // of the current window
	requests, accepted       float64
	earlier, earlierAccepted float64
	last                     result.Refused // of the owner
}

// New returns a throttle that refuses nothing.
func New() *Throttle { return &Throttle{keys: map[Key]*counts{}} }

// Verdict says what becomes of a request: Admitted or Refused.
type Verdict interface{ verdict() }

// Admitted requests are sent to the owner.
type Admitted struct{}

// Refused requests are not sent to the owner.
type Refused struct{ outcome result.Refused }

// Outcome returns the last refusal of the owner.
func (r Refused) Outcome() result.Refused { return r.outcome }

func (Admitted) verdict() {}
func (Refused) verdict()  {}

// Check counts a request and decides on it; random is uniform in [0, 1).
func (t *Throttle) Check(k Key, now clock.Millis, random float64) Verdict {
	c, ok := t.keys[k]
	if !ok {
		return Admitted{}
	}
	requests, accepted := c.sums(now)
	if requests == 0 {
		delete(t.keys, k)
		return Admitted{}
	}
	c.requests++
	if requests >= MinRequests && random < (requests-Headroom*accepted)/(requests+1) {
		return Refused{outcome: c.last}
	}
	return Admitted{}
}

// Refused records that the owner was overloaded.
func (t *Throttle) Refused(k Key, o result.Refused, now clock.Millis) {
	c, ok := t.keys[k]
	if !ok {
		if c = t.add(now); c == nil {
			return
		}
		t.keys[k] = c
	}
	c.last = result.NewRefused(o.Reason(), o.RetryAfter()).WithTargetLoad(o.TargetLoad())
}

// Accepted records that the owner accepted a request.
func (t *Throttle) Accepted(k Key) {
	if c, ok := t.keys[k]; ok {
		c.accepted++
	}
}

// add returns the counts of a further key, nil if there are too many that are still asked for.
func (t *Throttle) add(now clock.Millis) *counts {
	if len(t.keys) >= maxKeys {
		for k, c := range t.keys {
			if requests, _ := c.sums(now); requests == 0 {
				delete(t.keys, k)
			}
		}
	}
	if len(t.keys) >= maxKeys {
		return nil
	}
	return &counts{start: now, requests: 1}
}

// sums returns the requests that count at now, and those of them that were accepted.
func (c *counts) sums(now clock.Millis) (requests, accepted float64) {
	switch age := now - c.start; {
	case age >= 2*Window:
		*c = counts{start: now, last: c.last}
	case age >= Window:
		*c = counts{start: c.start + Window, earlier: c.requests, earlierAccepted: c.accepted, last: c.last}
	}
	left := 1 - float64(now-c.start)/float64(Window)
	return c.requests + left*c.earlier, c.accepted + left*c.earlierAccepted
}
