package leader

import (
	"verbenabank/core/clock"
	"verbenabank/core/query/place"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// plan proposes grants, moves and changes of phase that the placement wants.
func (l *Leader) plan() {
	if l.now < l.nextPlan {
		return
	}
	l.nextPlan = l.now.Add(planEvery)
	for _, c := range place.Plan(place.CostBased{}, l.fleet.Table(), l.gauge.View(), l.now) {
		l.propose(c)
	}
}

// survey tells the gauge of a new leader what the table holds.
func (l *Leader) survey() {
	t := l.fleet.Table()
	for _, m := range t.Members() {
		l.gauge.MemberJoined(m, l.now)
	}
	for _, n := range t.Services() {
		for _, o := range t.Overrides(n) {
			l.gauge.KeyPlaced(o.Key(), l.base(n, o.Key()), load.NewShardRef(n, o.Shard()))
		}
		for _, s := range t.Shards(n) {
			l.gauge.HoldingChanged(load.NewShardRef(n, s), t.Ownership(n, s), l.now)
		}
	}
}

// base returns the hash range of a key, of which a service without keys has one.
func (l *Leader) base(service, key string) load.ShardRef {
	count := 1
	s, _ := l.fleet.Table().Rules().Service(service)
	if k, ok := s.Kind().(rules.Keyed); ok {
		count = k.Shards()
	}
	return load.NewShardRef(service, table.HashShard(key, count))
}

// propose offers a command unless one about the same subject is under way.
func (l *Leader) propose(c logcmd.Command) {
	s := subjectOf(c)
	if l.pending(l.planned[s]) {
		return
	}
	l.planned[s] = l.now
	l.offer(c)
}

// proposalSpan is how long a proposal in milliseconds stands before it may be made again: it
// may have been dropped while the replicated log was busy.
const proposalSpan = 2 * clock.Second

// pending reports whether a proposal of an instant, 0 if there was none, still stands.
func (l *Leader) pending(since clock.Millis) bool {
	return since > 0 && l.now.Sub(since) < proposalSpan
}

// subjectOf returns what a command is about.
func subjectOf(c logcmd.Command) subject {
	switch c := c.(type) {
	case logcmd.Grant:
		return subject{service: c.Service(), shard: c.Shard()}
	case logcmd.Move:
		return subject{service: c.Service(), shard: c.Shard()}
	case logcmd.Release:
		return subject{service: c.Service(), shard: c.Shard()}
	case logcmd.GrantSpan:
		return subject{service: c.Service(), first: c.First(), last: c.Last()}
	case logcmd.MoveSpan:
		return subject{service: c.Service(), first: c.First(), last: c.Last()}
	case logcmd.ReleaseSpan:
		return subject{service: c.Service(), first: c.First(), last: c.Last()}
	case logcmd.AddOverride:
		return subject{service: c.Service(), key: c.Key()}
	case logcmd.RemoveOverride:
		return subject{service: c.Service(), key: c.Key()}
	case logcmd.Join:
		return subject{member: c.Member().Incarnation()}
	case logcmd.Expire:
		return subject{member: c.Incarnation()}
	case logcmd.SetPhase:
		return subject{member: c.Incarnation()}
	case logcmd.SetRules:
	}
	return subject{}
}
