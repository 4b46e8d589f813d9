package leader

import (
	"verbenabank/core/clock"
	"verbenabank/core/query/place"
	"verbenabank/core/state/load"
	"verbenabank/core/state/order"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// plan proposes the grants, moves and phase changes of the placement plan.
func (l *Leader) plan() {
	if l.now < l.nextPlan {
		return
	}
	l.nextPlan = l.now.Add(planInterval)
	for _, c := range place.Plan(place.Priced{}, l.fleet.Table(), l.gauge.View(), l.now) {
		l.proposeOnce(c)
	}
}

// seedGauge fills the load gauge of a new leader from the table.
func (l *Leader) seedGauge() {
	t := l.fleet.Table()
	for _, m := range t.Members() {
		l.gauge.Joined(m, l.now)
	}
	for _, n := range t.Services() {
		for _, o := range t.Overrides(n) {
			l.gauge.Placed(o.Key(), l.baseRange(n, o.Key()), load.NewPlace(n, o.Shard()))
		}
		for _, s := range t.Shards(n) {
			l.gauge.Held(load.NewPlace(n, s), t.Holding(n, s), l.now)
		}
	}
}

// baseRange returns the hash range of a key. A service without keys has a single one.
func (l *Leader) baseRange(service, key string) load.Place {
	count := 1
	s, _ := l.fleet.Table().Rules().Service(service)
	if k, ok := s.Kind().(rules.Keyed); ok {
		count = k.Shards()
	}
	return load.NewPlace(service, table.HashShard(key, count))
}

// proposeOnce proposes a command unless one with the same key is under way.
func (l *Leader) proposeOnce(c order.Command) {
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
func proposalKeyOf(c order.Command) proposalKey {
	switch c := c.(type) {
	case order.Grant:
		return proposalKey{service: c.Service(), shard: c.Shard()}
	case order.Move:
		return proposalKey{service: c.Service(), shard: c.Shard()}
	case order.Release:
		return proposalKey{service: c.Service(), shard: c.Shard()}
	case order.GrantSpan:
		return proposalKey{service: c.Service(), first: c.First(), last: c.Last()}
	case order.MoveSpan:
		return proposalKey{service: c.Service(), first: c.First(), last: c.Last()}
	case order.ReleaseSpan:
		return proposalKey{service: c.Service(), first: c.First(), last: c.Last()}
	case order.Place:
		return proposalKey{service: c.Service(), key: c.Key()}
	case order.Unplace:
		return proposalKey{service: c.Service(), key: c.Key()}
	case order.Join:
		return proposalKey{member: c.Member().Incarnation()}
	case order.Expire:
		return proposalKey{member: c.Incarnation()}
	case order.SetPhase:
		return proposalKey{member: c.Incarnation()}
	case order.Accept:
	}
	return proposalKey{}
}
