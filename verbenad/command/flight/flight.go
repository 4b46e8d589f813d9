// Package flight counts the requests that are on their way through this daemon to
// the target beside it.
//
// A request enters its count before its ownership is checked. A shard is released only
// after the snapshot without it was published and its count was seen at zero. So a
// request either is counted, and waited for, or sees that snapshot.
package flight

import (
	"sync"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// place is one shard of one service.
type place struct {
	service string
	shard   table.Shard
}

// tally is what is known of one place.
type tally struct {
	inside   map[*visit]struct{}
	requests uint64
	busy     clock.Millis
	waiters  []func()
	quiet    []quiet
}

// visit is one request in flight.
type visit struct{ since clock.Millis }

// Tracker counts requests. It is safe for concurrent use.
type Tracker struct {
	clock   *clock.Clock
	mu      sync.Mutex
	places  map[place]*tally
	total   int
	waiters []func()
	past    map[*past]struct{}
}

// Option sets one property of a Flight.
type Option func(*Tracker)

// WithClock sets the clock that measures busy time.
func WithClock(c *clock.Clock) Option { return func(f *Tracker) { f.clock = c } }

// New returns a count of nothing.
func New(opts ...Option) *Tracker {
	f := &Tracker{clock: clock.New(), places: map[place]*tally{}, past: map[*past]struct{}{}}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Enter counts a request of the shard until leave is called, which must happen
// once.
func (f *Tracker) Enter(service string, s table.Shard) (leave func()) {
	p := place{service: service, shard: s}
	since := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tally(p)
	v := &visit{since: since}
	t.inside[v] = struct{}{}
	t.requests++
	f.total++
	return func() { f.leave(t, v) }
}

// leave takes one request out and tells those who waited for the last.
func (f *Tracker) leave(t *tally, v *visit) {
	f.mu.Lock()
	now := f.clock.Now()
	delete(t.inside, v)
	t.busy += now - v.since
	f.total--
	told := append(f.pass(v), t.quieted(now)...)
	if len(t.inside) == 0 {
		told, t.waiters = append(told, t.waiters...), nil
	}
	if f.total == 0 {
		told, f.waiters = append(told, f.waiters...), nil
	}
	f.mu.Unlock()
	for _, notify := range told {
		notify()
	}
}

// Drained calls notify once, when no request of the shard is in flight: before it
// returns, or on the goroutine of the last request. notify must not block. The
// snapshot that stops new requests for the shard must be published before.
func (f *Tracker) Drained(service string, s table.Shard, notify func()) {
	f.mu.Lock()
	t := f.tally(place{service: service, shard: s})
	if len(t.inside) > 0 {
		t.waiters = append(t.waiters, notify)
		f.mu.Unlock()
		return
	}
	f.mu.Unlock()
	notify()
}

// Empty calls notify once, when no request at all is in flight, like Drained.
func (f *Tracker) Empty(notify func()) {
	f.mu.Lock()
	if f.total > 0 {
		f.waiters = append(f.waiters, notify)
		f.mu.Unlock()
		return
	}
	f.mu.Unlock()
	notify()
}

func (f *Tracker) tally(p place) *tally {
	t, ok := f.places[p]
	if !ok {
		t = &tally{inside: map[*visit]struct{}{}}
		f.places[p] = t
	}
	return t
}

// Total returns how many requests are in flight.
func (f *Tracker) Total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total
}
