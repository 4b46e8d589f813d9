package leader

import (
	"verbenabank/core/query/place"
	"verbenabank/core/state/order"
)

// plan proposes grants, moves and changes of phase that the placement wants.
func (l *Leader) plan() {
	if l.now < l.nextPlan {
		return
	}
	l.nextPlan = l.now.Add(planEvery)
	for _, c := range place.Plan(l.fleet.Table(), l.gauge.View(), l.now) {
		l.propose(c)
	}
}

// propose offers a command unless one about the same subject is under way.
func (l *Leader) propose(c order.Command) {
	s := subjectOf(c)
	if l.planned[s] {
		return
	}
	l.planned[s] = true
	l.offer(c)
}

// subjectOf returns what a command is about.
func subjectOf(c order.Command) subject {
	switch c := c.(type) {
	case order.Grant:
		return subject{service: c.Service(), shard: c.Shard()}
	case order.Move:
		return subject{service: c.Service(), shard: c.Shard()}
	case order.Release:
		return subject{service: c.Service(), shard: c.Shard()}
	case order.Place:
		return subject{service: c.Service(), key: c.Key()}
	case order.Unplace:
		return subject{service: c.Service(), key: c.Key()}
	case order.Join:
		return subject{member: c.Member().Incarnation()}
	case order.Expire:
		return subject{member: c.Incarnation()}
	case order.SetPhase:
		return subject{member: c.Incarnation()}
	case order.Accept:
	}
	return subject{}
}
