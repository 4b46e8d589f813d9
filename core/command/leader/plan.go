package leader

import (
	"verbenabank/core/clock"
	"verbenabank/core/query/place"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// plan proposes the grants, moves and phase changes of the placement plan.
func (l *Leader) plan() {
	if l.now < l.nextPlan {
		return
	}
	l.lastPlan, l.nextPlan = l.now, l.now.Add(planInterval)
	for _, c := range place.Plan(place.CostBased{}, l.fleet.Table(), l.collector.View(), l.now) {
		l.proposeOnce(c)
	}
}

// seedCollector fills the statistics of a new leader from the table.
func (l *Leader) seedCollector() {
	t := l.fleet.Table()
	for _, m := range t.Members() {
		l.collector.MemberJoined(m, l.now)
	}
	for _, n := range t.Services() {
		for _, o := range t.Overrides(n) {
			l.collector.KeyPlaced(o.Key(), l.baseRange(n, o.Key()), load.NewShardRef(n, o.Shard()))
		}
		for _, s := range t.Shards(n) {
			l.collector.OwnershipChanged(load.NewShardRef(n, s), t.Ownership(n, s), l.now)
		}
	}
}

// baseRange returns the hash range of a key. A service without keys has a single one.
func (l *Leader) baseRange(service, key string) load.ShardRef {
	count := 1
	s, _ := l.fleet.Table().Rules().Service(service)
	if k, ok := s.Kind().(rules.Keyed); ok {
		count = k.Shards()
	}
	return load.NewShardRef(service, table.HashShard(key, count))
}

// proposeOnce proposes a command unless one with the same key is under way.
func (l *Leader) proposeOnce(c logcmd.Command) {
	k := proposalKeyOf(c)
	if l.pending(l.proposedAt[k]) {
		return
	}
	l.proposedAt[k] = l.now
	l.submit(c)
}

// proposalTimeout is after how many milliseconds a command may be proposed again: the proposal
// may have been dropped while the replicated log was busy.
const proposalTimeout = 2 * clock.Second

// pending reports whether a proposal made at an instant, 0 if there was none, has not timed out.
func (l *Leader) pending(since clock.Millis) bool {
	return since > 0 && l.now.Sub(since) < proposalTimeout
}

// proposalKeyOf returns the key of the object that a command changes.
func proposalKeyOf(c logcmd.Command) proposalKey {
	switch c := c.(type) {
	case logcmd.Grant:
		return proposalKey{service: c.Service(), shard: c.Shard()}
	case logcmd.Move:
		return proposalKey{service: c.Service(), shard: c.Shard()}
	case logcmd.Release:
		return proposalKey{service: c.Service(), shard: c.Shard()}
	case logcmd.GrantSpan:
		return proposalKey{service: c.Service(), first: c.First(), last: c.Last()}
	case logcmd.MoveSpan:
		return proposalKey{service: c.Service(), first: c.First(), last: c.Last()}
	case logcmd.ReleaseSpan:
		return proposalKey{service: c.Service(), first: c.First(), last: c.Last()}
	case logcmd.AddOverride:
		return proposalKey{service: c.Service(), key: c.Key()}
	case logcmd.RemoveOverride:
		return proposalKey{service: c.Service(), key: c.Key()}
	case logcmd.Join:
		return proposalKey{member: c.Member().Incarnation()}
	case logcmd.Expire:
		return proposalKey{member: c.Incarnation()}
	case logcmd.SetPhase:
		return proposalKey{member: c.Incarnation()}
	case logcmd.SetRules, logcmd.SetZoneDrain:
	}
	return proposalKey{}
}
