// Package flight tracks the in-flight requests that this daemon forwards to its local
// target.
//
// A request is counted before its ownership check. A shard is released only after a
// snapshot without it has been published and its count has then been zero. So each
// request is either counted, and the release waits for it, or is checked against that
// snapshot and refused.
package flight

import (
	"sync"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// shardKey identifies one shard of one service.
type shardKey struct {
	service string
	shard   table.Shard
}

// shardState holds the counters and waiters of one shard.
type shardState struct {
	inFlight       map[*request]struct{}
	requests       uint64
	busyTime       clock.Millis
	drainWaiters   []func()
	quiesceWaiters []quiesceWaiter
}

type request struct{ enteredAt clock.Millis }

// Tracker tracks in-flight requests by shard. It is safe for concurrent use.
type Tracker struct {
	clock        *clock.Clock
	mu           sync.Mutex
	shards       map[shardKey]*shardState
	total        int
	drainWaiters []func()
	barriers     map[*barrier]struct{}
}

// Option sets one property of a Tracker.
type Option func(*Tracker)

// WithClock sets the clock that times requests, by default the boot clock of the machine.
func WithClock(c *clock.Clock) Option { return func(t *Tracker) { t.clock = c } }

// New returns a tracker without requests.
func New(opts ...Option) *Tracker {
	t := &Tracker{clock: clock.New(), shards: map[shardKey]*shardState{}, barriers: map[*barrier]struct{}{}}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Enter counts a request of the shard as in flight until leave is called. The caller must
// call leave exactly once.
func (t *Tracker) Enter(service string, s table.Shard) (leave func()) {
	k := shardKey{service: service, shard: s}
	enteredAt := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.state(k)
	r := &request{enteredAt: enteredAt}
	st.inFlight[r] = struct{}{}
	st.requests++
	t.total++
	return func() { t.leave(st, r) }
}

// leave removes a request and notifies the waiters whose condition now holds, on the
// calling goroutine and without the lock.
func (t *Tracker) leave(st *shardState, r *request) {
	t.mu.Lock()
	now := t.clock.Now()
	delete(st.inFlight, r)
	st.busyTime += now - r.enteredAt
	t.total--
	callbacks := append(t.completeBarriers(r), st.takeQuiesced(now)...)
	if len(st.inFlight) == 0 {
		callbacks, st.drainWaiters = append(callbacks, st.drainWaiters...), nil
	}
	if t.total == 0 {
		callbacks, t.drainWaiters = append(callbacks, t.drainWaiters...), nil
	}
	t.mu.Unlock()
	for _, notify := range callbacks {
		notify()
	}
}

// OnDrained calls notify once, when no request of the shard is in flight: synchronously, or
// on the goroutine of the last request to leave. notify must not block. The caller must
// first publish the snapshot that stops new requests for the shard.
func (t *Tracker) OnDrained(service string, s table.Shard, notify func()) {
	t.mu.Lock()
	st := t.state(shardKey{service: service, shard: s})
	if len(st.inFlight) > 0 {
		st.drainWaiters = append(st.drainWaiters, notify)
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	notify()
}

// OnAllDrained calls notify once, when no request of any shard is in flight, under the same
// conditions as OnDrained.
func (t *Tracker) OnAllDrained(notify func()) {
	t.mu.Lock()
	if t.total > 0 {
		t.drainWaiters = append(t.drainWaiters, notify)
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	notify()
}

// state returns the state of the shard and creates it if needed. The lock must be held.
func (t *Tracker) state(k shardKey) *shardState {
	st, ok := t.shards[k]
	if !ok {
		st = &shardState{inFlight: map[*request]struct{}{}}
		t.shards[k] = st
	}
	return st
}

// Total returns the number of in-flight requests of all shards.
func (t *Tracker) Total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total
}
