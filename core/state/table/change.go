package table

import (
	"maps"
	"slices"

	"verbenabank/core/state/rules"
)

// Change is one difference between a table and the next version: RulesSet, MemberSet,
// MemberRemoved, TargetLeft, OwnershipSet, SpanSet, OverrideSet, OverrideRemoved or ZoneDrainSet.
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

// MemberRemoved removes a member. What the member owned is changed by separate changes.
type MemberRemoved struct{ incarnation Incarnation }

// NewMemberRemoved returns the change that removes i.
func NewMemberRemoved(i Incarnation) MemberRemoved { return MemberRemoved{incarnation: i} }

// Incarnation returns the removed member.
func (c MemberRemoved) Incarnation() Incarnation { return c.incarnation }

// OwnershipSet sets the ownership of a shard.
type OwnershipSet struct {
	service   string
	shard     Shard
	ownership Ownership
}

// NewOwnershipSet returns the change that sets the ownership of a shard.
func NewOwnershipSet(service string, s Shard, o Ownership) OwnershipSet {
	return OwnershipSet{service: service, shard: s, ownership: o}
}

// Service returns the name of the service.
func (c OwnershipSet) Service() string { return c.service }

// Shard returns the shard.
func (c OwnershipSet) Shard() Shard { return c.shard }

// Ownership returns the new ownership of the shard.
func (c OwnershipSet) Ownership() Ownership { return c.ownership }

// OverrideSet assigns a key to a dedicated shard, outside the hash ranges.
type OverrideSet struct {
	service string
	key     string
	shard   Shard
}

// NewOverrideSet returns the change that assigns key to s, which is FirstOverride or greater.
func NewOverrideSet(service, key string, s Shard) OverrideSet {
	return OverrideSet{service: service, key: key, shard: s}
}

// Service returns the name of the service.
func (c OverrideSet) Service() string { return c.service }

// Key returns the key.
func (c OverrideSet) Key() string { return c.key }

// Shard returns the dedicated shard of the key.
func (c OverrideSet) Shard() Shard { return c.shard }

// OverrideRemoved removes the dedicated shard of a key, which then belongs to its hash range again.
type OverrideRemoved struct {
	service string
	key     string
}

// NewOverrideRemoved returns the change that removes the override of key.
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

// With returns a copy of the table at the version, with the changes applied. The receiver
// is not modified; unchanged parts are shared.
func (t *Table) With(version uint64, changes ...Change) *Table {
	next := &Table{
		version: version, rules: t.rules, members: t.members, services: t.services, targetsLeft: t.targetsLeft,
		drainedZones: t.drainedZones,
	}
	e := editor{table: next, placementsCopied: map[string]bool{}, pagesCopied: map[pageKey]bool{}}
	for _, c := range changes {
		e.apply(c)
	}
	return next
}

// editor applies changes to a new table. It copies a part on the first write to it, since the
// part may be shared with earlier tables.
type editor struct {
	table            *Table
	membersCopied    bool
	servicesCopied   bool
	placementsCopied map[string]bool
	pagesCopied      map[pageKey]bool
}

func (e *editor) apply(c Change) {
	switch c := c.(type) {
	case RulesSet:
		e.table.rules = c.rules
	case MemberSet:
		e.mutableMembers()[c.member.incarnation] = c.member
	case MemberRemoved:
		delete(e.mutableMembers(), c.incarnation)
	case TargetLeft:
		e.setTargetLeft(c)
	case OwnershipSet:
		e.setOwnership(c.service, c.shard, c.ownership)
	case SpanSet:
		e.setSpan(c.service, c.span)
	case OverrideSet:
		e.mutablePlacement(c.service).overrides[c.key] = c.shard
	case OverrideRemoved:
		p := e.mutablePlacement(c.service)
		delete(p.dedicated, p.overrides[c.key])
		delete(p.overrides, c.key)
	case ZoneDrainSet:
		e.setZoneDrain(c)
	}
}

func (e *editor) mutableMembers() map[Incarnation]Member {
	if !e.membersCopied {
		e.membersCopied = true
		e.table.members = &memberSet{byIncarnation: cloneMap(e.table.members.byIncarnation)}
	}
	return e.table.members.byIncarnation
}

func (e *editor) mutablePlacement(service string) placement {
	if !e.servicesCopied {
		e.servicesCopied = true
		e.table.services = cloneMap(e.table.services)
	}
	if !e.placementsCopied[service] {
		e.placementsCopied[service] = true
		p := e.table.services[service]
		e.table.services[service] = placement{
			ranges: slices.Clone(p.ranges), dedicated: cloneMap(p.dedicated), overrides: cloneMap(p.overrides), spans: p.spans,
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
