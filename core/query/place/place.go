// Package place plans shard placement: grants of vacant shards, moves for rebalancing, and
// dedicated shards for hot keys. It only proposes commands; each is checked against the state
// again when it is applied.
//
// Rebalancing follows the greedy algorithm of G. Aggarwal, R. Motwani and A. Zhu, "The Load
// Rebalancing Problem" (2003): shards move from the most loaded member to the least loaded
// one, and the cost of each move follows from the weights in the configuration.
package place

import (
	"verbenabank/core/clock"
	"verbenabank/core/query/ranges"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// Limits of a plan.
const (
	// firstGrantDelay is how long the first grants of a service wait after a member joined, so
	// that members that join at about the same time all get shards.
	firstGrantDelay = 300 * clock.Millisecond
	// maxConcurrentMoves is the maximum number of moves in flight per service.
	maxConcurrentMoves = 4
)

// Plan returns the commands that bring the table closer to what the configuration asks for,
// given the load known to the leader at now.
func Plan(y Policy, t *table.Table, v load.View, now clock.Millis) []logcmd.Command {
	var plan []logcmd.Command
	for _, n := range t.Rules().ServiceNames() {
		s, _ := t.Rules().Service(n)
		plan = append(plan, endWarmUps(t, v, s, now)...)
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

// endWarmUps returns the commands that put members into service whose warm-up time is over.
func endWarmUps(t *table.Table, v load.View, s rules.Service, now clock.Millis) []logcmd.Command {
	var list []logcmd.Command
	for _, m := range t.MembersOf(s.Name()) {
		if _, ok := m.Phase().(table.Warming); ok && now.Sub(v.Joined(m.Incarnation())) >= s.WarmUp() {
			list = append(list, logcmd.NewSetPhase(m.Incarnation(), table.Serving{}))
		}
	}
	return list
}

// plan assigns shards without an eligible owner first, and then rebalances by the policy.
func (p *planner) plan() []logcmd.Command {
	if len(p.members) == 0 {
		return nil
	}
	for _, sh := range p.shards {
		p.assign(sh)
	}
	switch p.policy.(type) {
	case CostBased:
		p.balance()
		p.isolateHotKeys()
		p.returnColdKeys()
	case EqualCounts:
		p.balanceCounts()
	case Static:
	}
	return p.commands
}

// assign grants a vacant shard to the least loaded member, and moves a shard there if its owner
// is leaving or gone or in a drained zone.
func (p *planner) assign(sh *shard) {
	switch h := sh.ownership.(type) {
	case table.Vacant:
		if h.Epoch() == 0 && !p.membersSettled() {
			return
		}
		to := p.leastLoaded()
		to.load += sh.load
		p.commands = append(p.commands, logcmd.NewGrant(p.service.Name(), sh.number, h.Epoch(), to.incarnation()))
	case table.Owned:
		if _, eligible := p.byIncarnation[h.Owner()]; !eligible {
			p.move(sh, h, p.leastLoaded())
		}
	case table.Moving:
	}
}

// membersSettled reports whether no member joined within firstGrantDelay.
func (p *planner) membersSettled() bool {
	for _, m := range p.members {
		if p.now.Sub(p.view.Joined(m.incarnation())) < firstGrantDelay {
			return false
		}
	}
	return true
}

// move proposes to move a shard, and transfers its load between the members in this plan.
func (p *planner) move(sh *shard, h table.Owned, to *member) {
	if from, ok := p.byIncarnation[h.Owner()]; ok {
		from.load -= sh.load
	}
	to.load += sh.load
	p.commands = append(p.commands, logcmd.NewMove(p.service.Name(), sh.number, h.Epoch(), to.incarnation()))
}
