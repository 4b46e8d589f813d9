package flight

import (
	"sync"
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// quiesceWaiter waits until no request of a shard has been in flight for longer than maxAge.
type quiesceWaiter struct {
	maxAge clock.Millis
	notify func()
}

// OnQuiesced calls notify once: when no request of the shard has been in flight for longer than
// maxAge, or after maxWait, whichever comes first. notify must not block.
func (t *Tracker) OnQuiesced(service string, s table.Shard, maxAge, maxWait clock.Millis, notify func()) {
	var once sync.Once
	notifyOnce := func() { once.Do(notify) }
	t.mu.Lock()
	st := t.state(shardKey{service: service, shard: s})
	st.quiesceWaiters = append(st.quiesceWaiters, quiesceWaiter{maxAge: maxAge, notify: notifyOnce})
	callbacks := st.takeQuiesced(t.clock.Now())
	t.mu.Unlock()
	for _, n := range callbacks {
		n()
	}
	time.AfterFunc(maxWait.Duration(), notifyOnce)
}

// takeQuiesced removes the waiters whose condition holds and returns their callbacks. The
// lock must be held.
func (st *shardState) takeQuiesced(now clock.Millis) []func() {
	if len(st.quiesceWaiters) == 0 {
		return nil
	}
	oldest := clock.Millis(0)
	for r := range st.inFlight {
		oldest = max(oldest, now-r.enteredAt)
	}
	var callbacks []func()
	var remaining []quiesceWaiter
	for _, w := range st.quiesceWaiters {
		if oldest <= w.maxAge {
			callbacks = append(callbacks, w.notify)
		} else {
			remaining = append(remaining, w)
		}
	}
	st.quiesceWaiters = remaining
	return callbacks
}
