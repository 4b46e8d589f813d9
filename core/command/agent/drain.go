package agent

import (
	"slices"

	"verbenabank/core/state/order"
	"verbenabank/core/state/table"
)

func release(service string, s table.Shard, e table.Epoch) order.Release {
	return order.NewRelease(service, s, e)
}

// shardDrained gives a moving shard back at once.
func (a *Agent) shardDrained(e ShardDrained) {
	key := release(e.service, e.shard, e.epoch)
	if !a.watched[key] || slices.Contains(a.released, key) {
		return
	}
	a.released = append(a.released, key)
	if a.joined {
		a.renew()
	}
}

// dropSettled forgets releases that the table has already followed.
func (a *Agent) dropSettled() {
	a.released = slices.DeleteFunc(slices.Clone(a.released), func(r order.Release) bool {
		return !a.moving(r)
	})
	for k := range a.watched {
		if !a.moving(k) {
			delete(a.watched, k)
		}
	}
}

func (a *Agent) moving(r order.Release) bool {
	m, ok := a.table.Holding(r.Service(), r.Shard()).(table.Moving)
	return ok && m.From() == a.self && m.Epoch() == r.Epoch()
}

// holds reports whether this daemon holds any shard.
func (a *Agent) holds() bool {
	for _, s := range a.table.Shards(a.target.service) {
		if servant(a.table.Holding(a.target.service, s)) == a.self {
			return true
		}
	}
	return false
}

// servant returns who serves or drains a shard, 0 if nobody.
func servant(h table.Holding) table.Incarnation {
	switch h := h.(type) {
	case table.Vacant:
		return 0
	case table.Owned:
		return h.Owner()
	case table.Moving:
		return h.From()
	}
	return 0
}
