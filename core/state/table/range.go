package table

import "verbenabank/core/state/rules"

// MayShareKeys reports whether a request that entered under the shard earlier may be for a key
// of the shard s by this table: it entered under the hash range of a key that is placed
// alone now, or under the shard of a key that was.
func (t *Table) MayShareKeys(service string, s, earlier Shard) bool {
	if earlier == s {
		return false
	}
	if earlier >= FirstOverride {
		_, placed := t.OverrideKey(service, earlier)
		return !placed
	}
	key, placed := t.OverrideKey(service, s)
	if !placed {
		return s >= FirstOverride
	}
	v, _ := t.rules.Service(service)
	k, ok := v.Kind().(rules.Keyed)
	return !ok || HashShard(key, k.Shards()) == earlier
}

// OverrideKey returns the key that is placed alone in the shard.
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
