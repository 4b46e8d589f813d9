// Package place decides where shards go. It only proposes; what it proposes is
// compared with the state again when it is applied.
//
// The moves follow the greedy exchange of G. Aggarwal, R. Motwani and A. Zhu,
// "The Load Rebalancing Problem" (2003): from the most loaded member to the
// least loaded one, each move priced by the weights of the rules.
package place

import (
	"verbenabank/core/clock"
	"verbenabank/core/query/ranges"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// Limits of one plan.
const (
	// settle is how long the first grants of a service wait for further members.
	settle = 300 * clock.Millisecond
	// movesAtOnce is how many shards of a service may be on the move.
	movesAtOnce = 4
)

// Plan returns the commands that bring the table nearer to what the rules ask
// for, given the load that the leader knows of at now.
func Plan(y Policy, t *table.Table, v load.View, now clock.Millis) []logcmd.Command {
	var plan []logcmd.Command
	for _, n := range t.Rules().ServiceNames() {
		s, _ := t.Rules().Service(n)
		plan = append(plan, phases(t, v, s, now)...)
		switch k := s.Kind().(type) {
		case rules.Keyed:
			p := newPlanner(y, t, v, s, k, now)
			plan = append(plan, p.plan()...)
		case rules.Ordered:
			plan = append(plan, ranges.Plan(t, v, s, k, now)...)
		case rules.Pooled:
		}
	}
	return plan
}

// phases ends the warm-up of members.
func phases(t *table.Table, v load.View, s rules.Service, now clock.Millis) []logcmd.Command {
	var list []logcmd.Command
	for _, m := range t.MembersOf(s.Name()) {
		if _, ok := m.Phase().(table.Warming); ok && now.Sub(v.Joined(m.Incarnation())) >= s.WarmUp() {
			list = append(list, logcmd.NewSetPhase(m.Incarnation(), table.Serving{}))
		}
	}
	return list
}

// plan fills vacancies first, and then balances by the policy.
func (p *planner) plan() []logcmd.Command {
	if len(p.members) == 0 {
		return nil
	}
	for _, sh := range p.shards {
		p.consider(sh)
	}
	switch p.policy.(type) {
	case CostBased:
		p.balance()
		p.place()
		p.unplace()
	case Even:
		p.even()
	case Static:
	}
	return p.out
}

// consider grants a vacant shard and moves one off a leaving member.
func (p *planner) consider(sh *shard) {
	switch h := sh.holding.(type) {
	case table.Vacant:
		if h.Epoch() == 0 && !p.settled() {
			return
		}
		to := p.least()
		to.load += sh.load
		p.out = append(p.out, logcmd.NewGrant(p.service.Name(), sh.number, h.Epoch(), to.incarnation()))
	case table.Owned:
		if _, able := p.byIncarnation[h.Owner()]; !able {
			p.move(sh, h, p.least())
		}
	case table.Moving:
	}
}

// settled reports whether no member joined just now.
func (p *planner) settled() bool {
	for _, m := range p.members {
		if p.now.Sub(p.view.Joined(m.incarnation())) < settle {
			return false
		}
	}
	return true
}

// move takes a shard from its owner, and its load with it.
func (p *planner) move(sh *shard, h table.Owned, to *member) {
	if from, ok := p.byIncarnation[h.Owner()]; ok {
		from.load -= sh.load
	}
	to.load += sh.load
	p.out = append(p.out, logcmd.NewMove(p.service.Name(), sh.number, h.Epoch(), to.incarnation()))
}
