// Package snap holds what traffic goroutines may know of control state: an
// immutable snapshot behind an atomic pointer.
package snap

import (
	"slices"
	"sync/atomic"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// Snapshot is the state of a daemon at one instant. It is immutable, but for the
// channel that closes when a newer one takes its place.
type Snapshot struct {
	table      *table.Table
	self       table.Incarnation
	leaseEnd   clock.Millis
	rulesEnd   clock.Millis
	closed     map[ShardRef]bool
	runs       []HeldRange
	superseded chan struct{}
}

// ShardRef is one shard of one service.
type ShardRef struct {
	service string
	shard   table.Shard
}

// NewShardRef returns the place of a shard.
func NewShardRef(service string, s table.Shard) ShardRef { return ShardRef{service: service, shard: s} }

// Option sets one part of a Snap.
type Option func(*Snapshot)

// WithDraining sets the moving shards that take no new work. The map must not be
// changed afterwards.
func WithDraining(places map[ShardRef]bool) Option { return func(s *Snapshot) { s.closed = places } }

// New returns a snapshot of a daemon that is joined as self (0 if it is not
// joined), holds its shards until leaseEnd and may use the rules until rulesEnd,
// both on its own clock.
func New(t *table.Table, self table.Incarnation, leaseEnd, rulesEnd clock.Millis, opts ...Option) *Snapshot {
	s := &Snapshot{table: t, self: self, leaseEnd: leaseEnd, rulesEnd: rulesEnd, superseded: make(chan struct{})}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Table returns the routing table.
func (s *Snapshot) Table() *table.Table { return s.table }

// Self returns the incarnation of this daemon, 0 if it is not joined.
func (s *Snapshot) Self() table.Incarnation { return s.self }

// LeaseEnd returns the instant at which ownership lapses.
func (s *Snapshot) LeaseEnd() clock.Millis { return s.leaseEnd }

// RulesEnd returns the instant from which the rules may be out of date.
func (s *Snapshot) RulesEnd() clock.Millis { return s.rulesEnd }

// Superseded returns a channel that closes when a newer snapshot is published.
func (s *Snapshot) Superseded() <-chan struct{} { return s.superseded }

// Owns reports whether this daemon may take new work for the shard at now, and at
// which epoch. A shard that is moving away is owned until it is closed.
func (s *Snapshot) Owns(service string, sh table.Shard, now clock.Millis) (table.Epoch, bool) {
	if s.self == 0 || now >= s.leaseEnd {
		return 0, false
	}
	switch h := s.table.Ownership(service, sh).(type) {
	case table.Vacant:
		return 0, false
	case table.Owned:
		return h.Epoch(), h.Owner() == s.self
	case table.Moving:
		return h.Epoch(), h.From() == s.self && !s.closed[NewShardRef(service, sh)]
	}
	return 0, false
}

// HeldRange is a run of keys of an ordered service that the target beside surely holds.
type HeldRange struct {
	first table.Key
	last  table.Key
	until clock.Millis
}

// NewHeldRange returns the run of the keys from first to last, held until an instant.
func NewHeldRange(first, last table.Key, until clock.Millis) HeldRange {
	return HeldRange{first: first, last: last, until: until}
}

// WithHeldRanges sets the keys that the target holds, in order.
func WithHeldRanges(runs []HeldRange) Option { return func(s *Snapshot) { s.runs = runs } }

// OwnsKey returns the epoch at which the daemon serves a key of an ordered service at now.
// It serves what the table gives it and its target holds.
func (s *Snapshot) OwnsKey(service string, k table.Key, now clock.Millis) (table.Epoch, bool) {
	p, _ := s.table.SpanAt(service, k)
	h, ok := p.Ownership().(table.Owned)
	if !ok || s.self == 0 || h.Owner() != s.self || now >= s.leaseEnd {
		return 0, false
	}
	i, _ := slices.BinarySearchFunc(s.runs, k, func(r HeldRange, k table.Key) int {
		if r.last < k {
			return -1
		}
		return 1
	})
	held := i < len(s.runs) && s.runs[i].first <= k && now < s.runs[i].until
	return h.Epoch(), held
}

// HeldKeys returns how many keys of its ordered service the target beside holds.
func (s *Snapshot) HeldKeys() int {
	count := 0
	for _, r := range s.runs {
		count += int(r.last-r.first) + 1
	}
	return count
}

// RulesValid reports whether the rules may be used at now.
func (s *Snapshot) RulesValid(now clock.Millis) bool { return now < s.rulesEnd }

// Store holds the newest snapshot. Load is safe for concurrent use; Publish is
// for the control goroutine only.
type Store struct {
	newest atomic.Pointer[Snapshot]
}

// NewStore returns a cell that holds an unjoined daemon with an empty table.
func NewStore() *Store {
	c := &Store{}
	c.newest.Store(New(table.Empty(), 0, 0, 0))
	return c
}

// Load returns the newest snapshot.
func (c *Store) Load() *Snapshot { return c.newest.Load() }

// Publish makes s the newest snapshot and wakes those who wait on the last one.
func (c *Store) Publish(s *Snapshot) {
	last := c.newest.Swap(s)
	close(last.superseded)
}
