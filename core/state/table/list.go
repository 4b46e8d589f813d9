package table

import (
	"cmp"
	"maps"
	"slices"
)

// Override is a key that is placed alone.
type Override struct {
	key   string
	shard Shard
}

// Key returns the key.
func (o Override) Key() string { return o.key }

// Shard returns the shard that holds only the key.
func (o Override) Shard() Shard { return o.shard }

// Members returns all members in the order of their incarnations; the caller must
// not change them.
func (t *Table) Members() []Member { return t.members.list() }

// MembersOf returns the members with a target of the service, in the order of
// their incarnations.
func (t *Table) MembersOf(service string) []Member {
	var list []Member
	for _, m := range t.Members() {
		if m.service == service {
			list = append(list, m)
		}
	}
	return list
}

// Shards returns the numbers of the shards of the service that were ever
// granted, in order.
func (t *Table) Shards(service string) []Shard {
	var list []Shard
	p := t.services[service]
	p.ranges.each(func(s Shard, _ Ownership) { list = append(list, s) })
	return append(list, slices.Sorted(maps.Keys(p.alone))...)
}

// Services returns the names of the services that have granted shards, in order.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.services)) }

// Overrides returns the keys of the service that are placed alone, by shard.
func (t *Table) Overrides(service string) []Override {
	var list []Override
	for k, s := range t.services[service].overrides {
		list = append(list, Override{key: k, shard: s})
	}
	slices.SortFunc(list, func(a, b Override) int { return cmp.Compare(a.shard, b.shard) })
	return list
}

// Changes returns the steps from the empty table to this one.
func (t *Table) Changes() []Change {
	var list []Change
	if t.rules.Version() > 0 {
		list = append(list, NewRulesSet(t.rules))
	}
	for _, m := range t.Members() {
		list = append(list, NewMemberSet(m))
	}
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
