// Package place decides where shards go. It only proposes; what it proposes is
// compared with the state again when it is applied.
package place

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/order"
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
func Plan(t *table.Table, v load.View, now clock.Millis) []order.Command {
	var plan []order.Command
	for _, n := range t.Rules().Names() {
		s, _ := t.Rules().Service(n)
		plan = append(plan, phases(t, v, s, now)...)
		if k, ok := s.Kind().(rules.Keyed); ok {
			p := newPlanner(t, v, s, k, now)
			plan = append(plan, p.plan()...)
		}
	}
	return plan
}

// phases ends the warm-up of members.
func phases(t *table.Table, v load.View, s rules.Service, now clock.Millis) []order.Command {
	var list []order.Command
	for _, m := range t.MembersOf(s.Name()) {
		if _, ok := m.Phase().(table.Warming); ok && now.Sub(v.Joined(m.Incarnation())) >= s.WarmUp() {
			list = append(list, order.NewSetPhase(m.Incarnation(), table.Serving{}))
		}
	}
	return list
}

// planner plans one keyed service.
type planner struct {
	table   *table.Table
	view    load.View
	service rules.Service
	kind    rules.Keyed
	now     clock.Millis
	able    []table.Incarnation
	counts  map[table.Incarnation]int
	moving  int
	out     []order.Command
}

func newPlanner(t *table.Table, v load.View, s rules.Service, k rules.Keyed, now clock.Millis) *planner {
	p := &planner{table: t, view: v, service: s, kind: k, now: now, counts: map[table.Incarnation]int{}}
	for _, m := range t.MembersOf(s.Name()) {
		if _, leaving := m.Phase().(table.Leaving); !leaving {
			p.able = append(p.able, m.Incarnation())
		}
	}
	for _, sh := range p.shards() {
		p.count(sh)
	}
	return p
}

func (p *planner) shards() []table.Shard {
	list := make([]table.Shard, 0, p.kind.Shards())
	for i := range p.kind.Shards() {
		list = append(list, table.Shard(i))
	}
	for _, o := range p.table.Overrides(p.service.Name()) {
		list = append(list, o.Shard())
	}
	return list
}

func (p *planner) count(sh table.Shard) {
	switch h := p.table.Holding(p.service.Name(), sh).(type) {
	case table.Vacant:
	case table.Owned:
		p.counts[h.Owner()]++
	case table.Moving:
		p.counts[h.To()]++
		p.moving++
	}
}

func (p *planner) plan() []order.Command {
	if len(p.able) == 0 {
		return nil
	}
	for _, sh := range p.shards() {
		p.consider(sh)
	}
	p.even()
	return p.out
}

// consider grants a vacant shard and moves one off a leaving member.
func (p *planner) consider(sh table.Shard) {
	switch h := p.table.Holding(p.service.Name(), sh).(type) {
	case table.Vacant:
		if h.Epoch() == 0 && !p.settled() {
			return
		}
		owner := p.least()
		p.counts[owner]++
		p.out = append(p.out, order.NewGrant(p.service.Name(), sh, h.Epoch(), owner))
	case table.Owned:
		if !slices.Contains(p.able, h.Owner()) {
			p.move(sh, h, p.least())
		}
	case table.Moving:
	}
}

func (p *planner) move(sh table.Shard, h table.Owned, to table.Incarnation) {
	p.counts[h.Owner()]--
	p.counts[to]++
	p.out = append(p.out, order.NewMove(p.service.Name(), sh, h.Epoch(), to))
}

// settled reports whether no member joined just now.
func (p *planner) settled() bool {
	for _, i := range p.able {
		if p.now.Sub(p.view.Joined(i)) < settle {
			return false
		}
	}
	return true
}

func (p *planner) least() table.Incarnation {
	return slices.MinFunc(p.able, func(a, b table.Incarnation) int { return cmp.Compare(p.counts[a], p.counts[b]) })
}

func (p *planner) most() table.Incarnation {
	return slices.MaxFunc(p.able, func(a, b table.Incarnation) int { return cmp.Compare(p.counts[a], p.counts[b]) })
}

// even moves shards from the member with most to the one with least while they
// differ by more than one.
func (p *planner) even() {
	for _, sh := range p.shards() {
		from, to := p.most(), p.least()
		if p.moving >= movesAtOnce || p.counts[from]-p.counts[to] <= 1 {
			return
		}
		h, ok := p.table.Holding(p.service.Name(), sh).(table.Owned)
		if ok && h.Owner() == from && h.Epoch() > 0 {
			p.moving++
			p.move(sh, h, to)
		}
	}
}
