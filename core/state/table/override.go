package table

import "verbenabank/core/state/rules"

// MayShareKeys reports whether a request that was assigned to the shard earlier, by a previous
// table, may be for a key that belongs to the shard s in this one. That is the case if an
// override was added or removed in between: earlier is the hash range of a key that now has
// the dedicated shard s, or the dedicated shard of a key whose override no longer exists.
func (t *Table) MayShareKeys(service string, s, earlier Shard) bool {
	if earlier == s {
		return false
	}
	if earlier >= FirstOverride {
		_, found := t.OverrideKey(service, earlier)
		return !found
	}
	key, found := t.OverrideKey(service, s)
	if !found {
		return s >= FirstOverride
	}
	v, _ := t.rules.Service(service)
	k, ok := v.Kind().(rules.Keyed)
	return !ok || HashShard(key, k.Shards()) == earlier
}

// OverrideKey returns the key with the dedicated shard s, and whether there is one.
func (t *Table) OverrideKey(service string, s Shard) (string, bool) {
	if s < FirstOverride {
		return "", false
	}
	for k, o := range t.services[service].overrides {
		if o == s {
			return k, true
		}
	}
	return "", false
}
