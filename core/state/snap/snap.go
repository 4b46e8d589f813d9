// Package snap holds what traffic goroutines may know of control state: an
// immutable snapshot behind an atomic pointer.
package snap

import (
	"slices"
	"sync/atomic"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// Snap is the state of a daemon at one instant. It is immutable, but for the
// channel that closes when a newer one takes its place.
type Snap struct {
	table      *table.Table
	self       table.Incarnation
	leaseEnd   clock.Millis
	rulesEnd   clock.Millis
	closed     map[Place]bool
	runs       []Run
	superseded chan struct{}
}

// Place is one shard of one service.
type Place struct {
	service string
	shard   table.Shard
}

// NewPlace returns the place of a shard.
func NewPlace(service string, s table.Shard) Place { return Place{service: service, shard: s} }

// Option sets one part of a Snap.
type Option func(*Snap)

// WithClosed sets the moving shards that take no new work. The map must not be
// changed afterwards.
func WithClosed(places map[Place]bool) Option { return func(s *Snap) { s.closed = places } }

// New returns a snapshot of a daemon that is joined as self (0 if it is not
// joined), holds its shards until leaseEnd and may use the rules until rulesEnd,
// both on its own clock.
func New(t *table.Table, self table.Incarnation, leaseEnd, rulesEnd clock.Millis, opts ...Option) *Snap {
	s := &Snap{table: t, self: self, leaseEnd: leaseEnd, rulesEnd: rulesEnd, superseded: make(chan struct{})}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Table returns the routing table.
func (s *Snap) Table() *table.Table { return s.table }

// Self returns the incarnation of this daemon, 0 if it is not joined.
func (s *Snap) Self() table.Incarnation { return s.self }

// LeaseEnd returns the instant at which ownership lapses.
func (s *Snap) LeaseEnd() clock.Millis { return s.leaseEnd }

// RulesEnd returns the instant from which the rules may be out of date.
func (s *Snap) RulesEnd() clock.Millis { return s.rulesEnd }

// Superseded returns a channel that closes when a newer snapshot is published.
func (s *Snap) Superseded() <-chan struct{} { return s.superseded }

// Owns reports whether this daemon may take new work for the shard at now, and at
// which epoch. A shard that is moving away is owned until it is closed.
func (s *Snap) Owns(service string, sh table.Shard, now clock.Millis) (table.Epoch, bool) {
	if s.self == 0 || now >= s.leaseEnd {
		return 0, false
	}
	switch h := s.table.Holding(service, sh).(type) {
	case table.Vacant:
		return 0, false
	case table.Owned:
		return h.Epoch(), h.Owner() == s.self
	case table.Moving:
		return h.Epoch(), h.From() == s.self && !s.closed[NewPlace(service, sh)]
	}
	return 0, false
}

// Run is a run of keys of an ordered service that the target beside surely holds.
type Run struct {
	first table.Key
	last  table.Key
	until clock.Millis
}

// NewRun returns the run of the keys from first to last, held until an instant.
func NewRun(first, last table.Key, until clock.Millis) Run {
	return Run{first: first, last: last, until: until}
}

// WithRuns sets the keys that the target holds, in order.
func WithRuns(runs []Run) Option { return func(s *Snap) { s.runs = runs } }

// OwnsKey returns the epoch at which the daemon serves a key of an ordered service at now.
// It serves what the table gives it and its target holds.
func (s *Snap) OwnsKey(service string, k table.Key, now clock.Millis) (table.Epoch, bool) {
	p, _ := s.table.SpanAt(service, k)
	h, ok := p.Holding().(table.Owned)
	if !ok || s.self == 0 || h.Owner() != s.self || now >= s.leaseEnd {
		return 0, false
	}
	i, _ := slices.BinarySearchFunc(s.runs, k, func(r Run, k table.Key) int {
		if r.last < k {
			return -1
		}
		return 1
	})
	held := i < len(s.runs) && s.runs[i].first <= k && now < s.runs[i].until
	return h.Epoch(), held
}

// Held returns how many keys of its ordered service the target beside holds.
func (s *Snap) Held() int {
	count := 0
	for _, r := range s.runs {
		count += int(r.last-r.first) + 1
	}
	return count
}

// Current reports whether the rules may be used at now.
func (s *Snap) Current(now clock.Millis) bool { return now < s.rulesEnd }

// Cell holds the newest snapshot. Load is safe for concurrent use; Publish is
// for the control goroutine only.
type Cell struct {
	newest atomic.Pointer[Snap]
}

// NewCell returns a cell that holds an unjoined daemon with an empty table.
func NewCell() *Cell {
	c := &Cell{}
	c.newest.Store(New(table.Empty(), 0, 0, 0))
	return c
}

// Load returns the newest snapshot.
func (c *Cell) Load() *Snap { return c.newest.Load() }

// Publish makes s the newest snapshot and wakes those who wait on the last one.
func (c *Cell) Publish(s *Snap) {
	last := c.newest.Swap(s)
	close(last.superseded)
}
