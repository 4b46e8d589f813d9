// Package table holds the routing table: which member owns which shard at which
// epoch, which keys are placed alone, and the rules in force.
//
// A Table is an immutable value. Control replicas derive the next one from
// committed commands; daemons derive the same one from the same changes.
package table

import (
	"github.com/cespare/xxhash/v2"

	"verbenabank/core/state/rules"
)

// Shard numbers a hash range of one service, or a key placed alone when it is
// FirstOverride or greater.
type Shard uint32

// FirstOverride is the least shard number of a key placed alone.
const FirstOverride Shard = 1 << 24

// Epoch counts the ownership periods of one shard. It only grows.
type Epoch uint64

// Table is the routing table at one version.
type Table struct {
	version  uint64
	rules    rules.Rules
	members  *roster
	services map[string]placement
}

// placement is the ownership of one service: its hash ranges, and the shards of
// keys placed alone.
type placement struct {
	ranges    pages
	alone     map[Shard]Ownership
	overrides map[string]Shard
	spans     []Span // in order, of ordered services; never changed in place
}

func (p placement) holding(s Shard) Ownership {
	if s >= FirstOverride {
		return p.alone[s]
	}
	return p.ranges.get(s)
}

// Empty returns the table at version 0.
func Empty() *Table { return &Table{members: &roster{}} }

// Version returns the log index of the last change.
func (t *Table) Version() uint64 { return t.version }

// Rules returns the configuration in force.
func (t *Table) Rules() rules.Rules { return t.rules }

// Member returns the member with the incarnation.
func (t *Table) Member(i Incarnation) (Member, bool) {
	m, ok := t.members.byIncarnation[i]
	return m, ok
}

// Ownership returns who holds the shard of the service. A shard that was never
// granted is Vacant at epoch 0.
func (t *Table) Ownership(service string, s Shard) Ownership {
	if h := t.services[service].holding(s); h != nil {
		return h
	}
	return NewVacant(0)
}

// ShardOf returns the shard of key in a service of count shards: its override if
// the key is placed alone, else its hash range.
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
