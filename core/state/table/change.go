package table

import (
	"maps"
	"slices"

	"verbenabank/core/state/rules"
)

// Change is one step from a table to the next: RulesSet, MemberSet, MemberGone,
// HoldingSet, OverrideSet or OverrideGone.
type Change interface{ change() }

// RulesSet puts a configuration in force.
type RulesSet struct{ rules rules.Rules }

// NewRulesSet returns the change that puts r in force.
func NewRulesSet(r rules.Rules) RulesSet { return RulesSet{rules: r} }

// Rules returns the configuration.
func (c RulesSet) Rules() rules.Rules { return c.rules }

// MemberSet adds or replaces a member.
type MemberSet struct{ member Member }

// NewMemberSet returns the change that sets m.
func NewMemberSet(m Member) MemberSet { return MemberSet{member: m} }

// Member returns the member.
func (c MemberSet) Member() Member { return c.member }

// MemberRemoved removes a member.
type MemberRemoved struct{ incarnation Incarnation }

// NewMemberRemoved returns the change that removes i.
func NewMemberRemoved(i Incarnation) MemberRemoved { return MemberRemoved{incarnation: i} }

// Incarnation returns the member that is gone.
func (c MemberRemoved) Incarnation() Incarnation { return c.incarnation }

// OwnershipSet sets who holds a shard.
type OwnershipSet struct {
	service string
	shard   Shard
	holding Ownership
}

// NewOwnershipSet returns the change that sets the holding of a shard.
func NewOwnershipSet(service string, s Shard, h Ownership) OwnershipSet {
	return OwnershipSet{service: service, shard: s, holding: h}
}

// Service returns the name of the service.
func (c OwnershipSet) Service() string { return c.service }

// Shard returns the shard.
func (c OwnershipSet) Shard() Shard { return c.shard }

// Ownership returns who holds the shard from now on.
func (c OwnershipSet) Ownership() Ownership { return c.holding }

// OverrideSet places a key alone in a shard of its own.
type OverrideSet struct {
	service string
	key     string
	shard   Shard
}

// NewOverrideSet returns the change that places key in s.
func NewOverrideSet(service, key string, s Shard) OverrideSet {
	return OverrideSet{service: service, key: key, shard: s}
}

// Service returns the name of the service.
func (c OverrideSet) Service() string { return c.service }

// Key returns the key.
func (c OverrideSet) Key() string { return c.key }

// Shard returns the shard of the key.
func (c OverrideSet) Shard() Shard { return c.shard }

// OverrideRemoved returns a key to its hash range and removes its shard.
type OverrideRemoved struct {
	service string
	key     string
}

// NewOverrideRemoved returns the change that returns key to its hash range.
func NewOverrideRemoved(service, key string) OverrideRemoved {
	return OverrideRemoved{service: service, key: key}
}

// Service returns the name of the service.
func (c OverrideRemoved) Service() string { return c.service }

// Key returns the key.
func (c OverrideRemoved) Key() string { return c.key }

func (SpanSet) change()         {}
func (RulesSet) change()        {}
func (MemberSet) change()       {}
func (MemberRemoved) change()   {}
func (OwnershipSet) change()    {}
func (OverrideSet) change()     {}
func (OverrideRemoved) change() {}

// With returns the table after the changes, at the version. The receiver stays
// as it is.
func (t *Table) With(version uint64, changes ...Change) *Table {
	next := &Table{version: version, rules: t.rules, members: t.members, services: t.services}
	e := editor{table: next, copied: map[string]bool{}, pages: map[pageKey]bool{}}
	for _, c := range changes {
		e.apply(c)
	}
	return next
}

// editor copies the parts of a table on their first change.
type editor struct {
	table    *Table
	members  bool
	services bool
	copied   map[string]bool
	pages    map[pageKey]bool
}

func (e *editor) apply(c Change) {
	switch c := c.(type) {
	case RulesSet:
		e.table.rules = c.rules
	case MemberSet:
		e.ownMembers()[c.member.incarnation] = c.member
	case MemberRemoved:
		delete(e.ownMembers(), c.incarnation)
	case OwnershipSet:
		e.set(c.service, c.shard, c.holding)
	case SpanSet:
		e.setSpan(c.service, c.span)
	case OverrideSet:
		e.ownPlacement(c.service).overrides[c.key] = c.shard
	case OverrideRemoved:
		p := e.ownPlacement(c.service)
		delete(p.alone, p.overrides[c.key])
		delete(p.overrides, c.key)
	}
}

func (e *editor) ownMembers() map[Incarnation]Member {
	if !e.members {
		e.members = true
		e.table.members = &roster{byIncarnation: cloneMap(e.table.members.byIncarnation)}
	}
	return e.table.members.byIncarnation
}

func (e *editor) ownPlacement(service string) placement {
	if !e.services {
		e.services = true
		e.table.services = cloneMap(e.table.services)
	}
	if !e.copied[service] {
		e.copied[service] = true
		p := e.table.services[service]
		e.table.services[service] = placement{
			ranges: slices.Clone(p.ranges), alone: cloneMap(p.alone), overrides: cloneMap(p.overrides), spans: p.spans,
		}
	}
	return e.table.services[service]
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
