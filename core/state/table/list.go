package table

import (
	"cmp"
	"maps"
	"slices"
)

// Override assigns one key to a dedicated shard in place of its hash range.
type Override struct {
	key   string
	shard Shard
}

// Key returns the key.
func (o Override) Key() string { return o.key }

// Shard returns the dedicated shard of the key.
func (o Override) Shard() Shard { return o.shard }

// Members returns all members, sorted by incarnation. The caller must not modify the list.
func (t *Table) Members() []Member { return t.members.list() }

// MembersOf returns the members with a target of the service, sorted by incarnation.
func (t *Table) MembersOf(service string) []Member {
	var list []Member
	for _, m := range t.Members() {
		if m.service == service {
			list = append(list, m)
		}
	}
	return list
}

// Shards returns the shards of the service that have ever been granted, in ascending order.
// Spans of ordered services are not included.
func (t *Table) Shards(service string) []Shard {
	var list []Shard
	p := t.services[service]
	p.ranges.each(func(s Shard, _ Ownership) { list = append(list, s) })
	return append(list, slices.Sorted(maps.Keys(p.dedicated))...)
}

// OwnsAny reports whether a member owns any shard or key of the service, or is handing it over.
func (t *Table) OwnsAny(service string, i Incarnation) bool {
	for _, s := range t.Shards(service) {
		if ServingMember(t.Ownership(service, s)) == i {
			return true
		}
	}
	return slices.ContainsFunc(t.Spans(service), func(s Span) bool { return ServingMember(s.Ownership()) == i })
}

// Services returns the names of the services with shards, spans or overrides, sorted.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.services)) }

// Overrides returns the key overrides of the service, sorted by shard.
func (t *Table) Overrides(service string) []Override {
	var list []Override
	for k, s := range t.services[service].overrides {
		list = append(list, Override{key: k, shard: s})
	}
	slices.SortFunc(list, func(a, b Override) int { return cmp.Compare(a.shard, b.shard) })
	return list
}

// Changes returns the changes that build this table from the empty one, except for its version.
func (t *Table) Changes() []Change {
	var list []Change
	if t.rules.Version() > 0 {
		list = append(list, NewRulesSet(t.rules))
	}
	for _, m := range t.Members() {
		list = append(list, NewMemberSet(m))
	}
	list = append(list, t.targetsLeftChanges()...)
	list = append(list, t.drainedZonesChanges()...)
	for _, n := range t.Services() {
		for _, o := range t.Overrides(n) {
			list = append(list, NewOverrideSet(n, o.key, o.shard))
		}
		for _, s := range t.Shards(n) {
			list = append(list, NewOwnershipSet(n, s, t.Ownership(n, s)))
		}
		for _, s := range t.Spans(n) {
			list = append(list, NewSpanSet(n, s))
		}
	}
	return list
}
