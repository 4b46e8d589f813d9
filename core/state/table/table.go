// Package table holds the routing table: which member owns which shard at which
// epoch, which keys have a shard of their own, and the rules in force.
//
// A Table is an immutable value. Control replicas derive the next version from
// committed commands; daemons derive the same version from the same changes.
package table

import (
	"github.com/cespare/xxhash/v2"

	"verbenabank/core/state/rules"
)

// Shard is the number of a shard of one service. Below FirstOverride it is a hash range, from
// there on the dedicated shard of a single key.
type Shard uint32

// FirstOverride is the lowest number of a dedicated shard.
const FirstOverride Shard = 1 << 24

// Epoch numbers the ownership periods of one shard and serves as its fencing token. It only
// increases.
type Epoch uint64

// Table is the routing table at one version.
type Table struct {
	version      uint64
	rules        rules.Rules
	members      *memberSet
	services     map[string]placement
	targetsLeft  map[string]uint64 // start times by instance; never modified in place
	drainedZones []string          // sorted; never modified in place
}

// placement is the ownership state of one service: its hash ranges, its dedicated shards with
// the overrides that lead to them, or its spans of keys.
type placement struct {
	ranges    pages
	dedicated map[Shard]Ownership
	overrides map[string]Shard
	spans     []Span // of ordered services, in ascending order; never modified in place
}

func (p placement) ownership(s Shard) Ownership {
	if s >= FirstOverride {
		return p.dedicated[s]
	}
	return p.ranges.get(s)
}

// Empty returns the table at version 0, without rules, members and shards.
func Empty() *Table { return &Table{members: &memberSet{}} }

// Version returns the log index of the last change.
func (t *Table) Version() uint64 { return t.version }

// Rules returns the configuration in force.
func (t *Table) Rules() rules.Rules { return t.rules }

// Member returns the member with the incarnation, and whether there is one.
func (t *Table) Member(i Incarnation) (Member, bool) {
	m, ok := t.members.byIncarnation[i]
	return m, ok
}

// MemberCount returns the number of members.
func (t *Table) MemberCount() int { return len(t.members.byIncarnation) }

// Ownership returns the ownership of a shard of the service. A shard that was never
// granted is Vacant at epoch 0.
func (t *Table) Ownership(service string, s Shard) Ownership {
	if o := t.services[service].ownership(s); o != nil {
		return o
	}
	return NewVacant(0)
}

// ShardOf returns the shard of key in a service with count hash ranges: its dedicated shard if
// the key has an override, else its hash range.
func (t *Table) ShardOf(service, key string, count int) Shard {
	if s, ok := t.services[service].overrides[key]; ok {
		return s
	}
	return HashShard(key, count)
}

// HashShard returns the hash range of key among count ranges of equal width.
func HashShard(key string, count int) Shard {
	high := xxhash.Sum64String(key) >> 32
	return Shard(high * uint64(count) >> 32)
}
