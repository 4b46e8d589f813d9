package agent

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// LongRequestAge is the age of a request in milliseconds from which a moving shard stays open
// because of it: closing it would make requests for the other keys wait for its end.
const LongRequestAge = 50 * clock.Millisecond

// closeMargin is how long before its handover deadline a daemon closes its shards at the latest,
// so that admitted requests finish by the deadline.
const closeMargin = 500 * clock.Millisecond

// quiesceTimeout returns how long a moving shard may stay open because of requests in flight.
func (a *Agent) quiesceTimeout() clock.Millis {
	if l, ok := a.shutdown.(handingOver); ok {
		return max(0, l.deadline.Sub(a.now)-closeMargin)
	}
	return a.drainLimit()
}

// handover is the progress of the handover of a shard: open, closed or released.
type handover interface{ handover() }

// open shards still accept new requests.
type open struct{}

// closed shards accept no new requests and wait for those in flight.
type closed struct{}

// released shards have no request in flight; renewals report them to the leader.
type released struct{}

func (open) handover()     {}
func (closed) handover()   {}
func (released) handover() {}

func release(service string, s table.Shard, e table.Epoch) logcmd.Release {
	return logcmd.NewRelease(service, s, e)
}

// shardQuiesced closes a moving shard to new requests.
func (a *Agent) shardQuiesced(e ShardQuiesced) {
	key := release(e.service, e.shard, e.epoch)
	if _, ok := a.handovers[key].(open); !ok {
		return
	}
	a.handovers[key] = closed{}
	a.publish()
	a.emit(AwaitShardDrained(e))
}

// shardDrained releases a closed shard and reports it in a renewal without delay.
func (a *Agent) shardDrained(e ShardDrained) {
	key := release(e.service, e.shard, e.epoch)
	if _, ok := a.handovers[key].(closed); !ok {
		return
	}
	a.handovers[key] = released{}
	if a.joined {
		a.renew()
	}
}

// releases returns the shards to release, sorted by service and shard.
func (a *Agent) releases() []logcmd.Release {
	var list []logcmd.Release
	for k, h := range a.handovers {
		if _, ok := h.(released); ok {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b logcmd.Release) int {
		return cmp.Or(cmp.Compare(a.Service(), b.Service()), cmp.Compare(a.Shard(), b.Shard()))
	})
	return list
}

// closedShards returns the moving shards that accept no new requests.
func (a *Agent) closedShards() map[snap.ShardRef]bool {
	shards := map[snap.ShardRef]bool{}
	for k, h := range a.handovers {
		if _, ok := h.(open); !ok {
			shards[snap.NewShardRef(k.Service(), k.Shard())] = true
		}
	}
	return shards
}

// dropCompletedHandovers removes handovers that are no longer pending in the table.
func (a *Agent) dropCompletedHandovers() {
	for k := range a.handovers {
		if !a.moving(k) {
			delete(a.handovers, k)
		}
	}
}

// moving reports whether the table still asks this daemon to hand over the shard.
func (a *Agent) moving(r logcmd.Release) bool {
	m, ok := a.table.Ownership(r.Service(), r.Shard()).(table.Moving)
	return ok && m.From() == a.self && m.Epoch() == r.Epoch()
}

// holdsShards reports whether this daemon owns or is handing over any shard of its target's service.
func (a *Agent) holdsShards() bool {
	for _, s := range a.table.Shards(a.target.service) {
		if table.ServingMember(a.table.Ownership(a.target.service, s)) == a.self {
			return true
		}
	}
	return false
}
