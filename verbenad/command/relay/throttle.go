package relay

import (
	"math/rand/v2"
	"sync"

	"verbenabank/core/clock"
	"verbenabank/core/command/throttle"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
)

// keyThrottle refuses requests for keys whose owners are overloaded. It is safe for concurrent use.
type keyThrottle struct {
	clock *clock.Clock

	mu       sync.Mutex
	throttle *throttle.Throttle
}

func newKeyThrottle(c *clock.Clock) *keyThrottle {
	return &keyThrottle{clock: c, throttle: throttle.New()}
}

func (t *keyThrottle) check(k throttle.Key) throttle.Verdict {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.throttle.Check(k, now, rand.Float64())
}

// record records the owner's reply to an admitted request: it has accepted the request unless it refused it.
func (t *keyThrottle) record(k throttle.Key, reply call.Reply) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	f, failed := reply.(call.Failure)
	if !failed {
		t.throttle.Accepted(k)
		return
	}
	switch o := f.Outcome().(type) {
	case result.Refused:
		if o.Reason() == result.Overloaded || o.Reason() == result.Shed {
			t.throttle.Refused(k, o, now)
		}
	case result.Unknown, result.Answered:
	}
}
