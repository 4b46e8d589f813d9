package agent

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// LongRequestAge is the age of a request in milliseconds from which a moving shard is
// not closed because of it: the other keys of the shard would wait for its end.
const LongRequestAge = 50 * clock.Millisecond

// closeBefore is how long before the end of its leave a daemon closes its shards at last,
// so that what was let in by then is done by the end.
const closeBefore = 500 * clock.Millisecond

// quietSpan returns how long a moving shard may stay open because of what is in flight.
func (a *Agent) quietSpan() clock.Millis {
	if l, ok := a.leave.(leaving); ok {
		return max(0, l.until.Sub(a.now)-closeBefore)
	}
	return a.drainSpan()
}

// handover is how far the handing over of a shard is: waiting, closed or
// released.
type handover interface{ handover() }

// waiting shards still take new work.
type waiting struct{}

// closed shards take no new work and wait for what is in flight.
type closed struct{}

// released shards have nothing in flight; the leader is being told.
type released struct{}

func (waiting) handover()  {}
func (closed) handover()   {}
func (released) handover() {}

func release(service string, s table.Shard, e table.Epoch) logcmd.Release {
	return logcmd.NewRelease(service, s, e)
}

// shardQuiet closes a moving shard for new work.
func (a *Agent) shardQuiet(e ShardQuiesced) {
	key := release(e.service, e.shard, e.epoch)
	if _, ok := a.handing[key].(waiting); !ok {
		return
	}
	a.handing[key] = closed{}
	a.publish()
	a.emit(AwaitShardDrained(e))
}

// shardDrained gives a closed shard back at once.
func (a *Agent) shardDrained(e ShardDrained) {
	key := release(e.service, e.shard, e.epoch)
	if _, ok := a.handing[key].(closed); !ok {
		return
	}
	a.handing[key] = released{}
	if a.joined {
		a.renew()
	}
}

// releases returns the shards to give back, in order.
func (a *Agent) releases() []logcmd.Release {
	var list []logcmd.Release
	for k, h := range a.handing {
		if _, ok := h.(released); ok {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b logcmd.Release) int {
		return cmp.Or(cmp.Compare(a.Service(), b.Service()), cmp.Compare(a.Shard(), b.Shard()))
	})
	return list
}

// closedPlaces returns the moving shards that take no new work.
func (a *Agent) closedPlaces() map[snap.ShardRef]bool {
	places := map[snap.ShardRef]bool{}
	for k, h := range a.handing {
		if _, ok := h.(waiting); !ok {
			places[snap.NewShardRef(k.Service(), k.Shard())] = true
		}
	}
	return places
}

// dropSettled forgets handovers that the table has already followed.
func (a *Agent) dropSettled() {
	for k := range a.handing {
		if !a.moving(k) {
			delete(a.handing, k)
		}
	}
}

func (a *Agent) moving(r logcmd.Release) bool {
	m, ok := a.table.Ownership(r.Service(), r.Shard()).(table.Moving)
	return ok && m.From() == a.self && m.Epoch() == r.Epoch()
}

// holds reports whether this daemon holds any shard.
func (a *Agent) holds() bool {
	for _, s := range a.table.Shards(a.target.service) {
		if servant(a.table.Ownership(a.target.service, s)) == a.self {
			return true
		}
	}
	return false
}

// servant returns who serves or drains a shard, 0 if nobody.
func servant(h table.Ownership) table.Incarnation {
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
