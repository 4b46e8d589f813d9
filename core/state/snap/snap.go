// Package snap holds the part of the control state that traffic goroutines may read: an
// immutable snapshot behind an atomic pointer.
package snap

import (
	"slices"
	"sync/atomic"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// Snapshot is the state of a daemon at one time. It is immutable, apart from the channel that is
// closed when a newer snapshot replaces it.
type Snapshot struct {
	table      *table.Table
	self       table.Incarnation
	leaseEnd   clock.Millis
	rulesEnd   clock.Millis
	draining   map[ShardRef]bool
	heldRanges []HeldRange
	group      uint64
	confirmed  clock.Millis
	keysEnd    clock.Millis
	superseded chan struct{}
}

// ShardRef identifies a shard by its service and number.
type ShardRef struct {
	service string
	shard   table.Shard
}

// NewShardRef returns the identity of the shard.
func NewShardRef(service string, s table.Shard) ShardRef { return ShardRef{service: service, shard: s} }

// Option sets one part of a Snapshot.
type Option func(*Snapshot)

// WithDraining sets the moving shards that are draining: they accept no new requests. The map must
// not be modified afterwards.
func WithDraining(shards map[ShardRef]bool) Option { return func(s *Snapshot) { s.draining = shards } }

// WithConfirmation sets the control group, and when its rules were last known to be the newest ones, 0 if never.
func WithConfirmation(group uint64, at clock.Millis) Option {
	return func(s *Snapshot) { s.group, s.confirmed = group, at }
}

// WithKeysEnd sets from when on this daemon accepts no requests for keys any more since its zone is drained, 0 if it
// isn't.
func WithKeysEnd(at clock.Millis) Option { return func(s *Snapshot) { s.keysEnd = at } }

// New returns a snapshot of a daemon that has joined as self (0 if it has not). Its lease
// on shards expires at leaseEnd, and it may use the rules until rulesEnd, both on its own clock.
func New(t *table.Table, self table.Incarnation, leaseEnd, rulesEnd clock.Millis, opts ...Option) *Snapshot {
	s := &Snapshot{table: t, self: self, leaseEnd: leaseEnd, rulesEnd: rulesEnd, superseded: make(chan struct{})}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Table returns the routing table.
func (s *Snapshot) Table() *table.Table { return s.table }

// Self returns the incarnation of this daemon, 0 if it has not joined.
func (s *Snapshot) Self() table.Incarnation { return s.self }

// LeaseEnd returns when the lease expires, and the ownership of shards with it.
func (s *Snapshot) LeaseEnd() clock.Millis { return s.leaseEnd }

// RulesEnd returns from when on the rules may be outdated.
func (s *Snapshot) RulesEnd() clock.Millis { return s.rulesEnd }

// Group returns the control group of the rules, 0 if no leader has confirmed any.
func (s *Snapshot) Group() uint64 { return s.group }

// RulesConfirmed returns when the rules were last known to be the newest ones, 0 if never.
func (s *Snapshot) RulesConfirmed() clock.Millis { return s.confirmed }

// RulesAge returns for how long the rules have not been confirmed as the newest ones, 0 if they never were.
func (s *Snapshot) RulesAge(now clock.Millis) clock.Millis {
	if s.confirmed == 0 {
		return 0
	}
	return now.Sub(s.confirmed)
}

// Superseded returns a channel that is closed when a newer snapshot is published.
func (s *Snapshot) Superseded() <-chan struct{} { return s.superseded }

// Owns reports whether this daemon may accept new requests for the shard at now, and at which
// epoch. A shard that is moving away is owned until it starts to drain.
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
		return h.Epoch(), h.From() == s.self && !s.draining[NewShardRef(service, sh)]
	}
	return 0, false
}

// HeldRange is a range of adjacent keys of an ordered service that the local target is known to hold.
type HeldRange struct {
	first table.Key
	last  table.Key
	until clock.Millis
}

// NewHeldRange returns the range of keys from first to last, both included, held until the given time.
func NewHeldRange(first, last table.Key, until clock.Millis) HeldRange {
	return HeldRange{first: first, last: last, until: until}
}

// WithHeldRanges sets the keys that the local target holds, in ascending order.
func WithHeldRanges(ranges []HeldRange) Option { return func(s *Snapshot) { s.heldRanges = ranges } }

// OwnsKey reports whether this daemon may accept new requests for a key of an ordered service
// at now, and at which epoch. It needs the ownership and a target that holds the key; without
// the latter only the epoch is returned. A key that is moving away is owned as long as the target
// holds it.
func (s *Snapshot) OwnsKey(service string, k table.Key, now clock.Millis) (table.Epoch, bool) {
	p, _ := s.table.SpanAt(service, k)
	if s.self == 0 || table.ServingMember(p.Ownership()) != s.self || now >= s.leaseEnd {
		return 0, false
	}
	i, _ := slices.BinarySearchFunc(s.heldRanges, k, func(r HeldRange, k table.Key) int {
		if r.last < k {
			return -1
		}
		return 1
	})
	held := i < len(s.heldRanges) && s.heldRanges[i].first <= k && now < s.heldRanges[i].until
	return p.Ownership().Epoch(), held
}

// HeldKeys returns how many keys of its ordered service the local target holds.
func (s *Snapshot) HeldKeys() int {
	count := 0
	for _, r := range s.heldRanges {
		count += int(r.last-r.first) + 1
	}
	return count
}

// Drained reports whether the zone of this daemon is drained. Requests without a key are refused then.
func (s *Snapshot) Drained() bool {
	m, ok := s.table.Member(s.self)
	return ok && s.table.ZoneDrained(m.Zone())
}

// KeysClosed reports whether the zone of this daemon has been drained for so long that it accepts no requests for keys
// any more, also for keys that it could not hand over.
func (s *Snapshot) KeysClosed(now clock.Millis) bool { return s.keysEnd > 0 && now >= s.keysEnd }

// RulesValid reports whether the rules are still valid at now.
func (s *Snapshot) RulesValid(now clock.Millis) bool { return now < s.rulesEnd }

// Store holds the newest snapshot. Load is safe for concurrent use; Publish may be called by the
// control goroutine only.
type Store struct {
	newest atomic.Pointer[Snapshot]
}

// NewStore returns a store with the snapshot of a daemon that has not joined, with an empty table.
func NewStore() *Store {
	s := &Store{}
	s.newest.Store(New(table.Empty(), 0, 0, 0))
	return s
}

// Load returns the newest snapshot, never nil.
func (s *Store) Load() *Snapshot { return s.newest.Load() }

// Publish makes next the newest snapshot and closes the channel of the previous one. A snapshot
// must not be published twice.
func (s *Store) Publish(next *Snapshot) {
	previous := s.newest.Swap(next)
	close(previous.superseded)
}
