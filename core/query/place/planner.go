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

// Shares and weights of a plan.
const (
	// leastShare is the share of a member that joined just now.
	leastShare = 0.1
	// idleShare is what a shard weighs without requests, as a part of the mean
	// shard, so that idle shards are spread too.
	idleShare = 0.1
	// idleRate is what a shard without requests weighs at least, in requests per
	// second.
	idleRate = 0.5
)

// planner plans one keyed service.
type planner struct {
	policy        Policy
	table         *table.Table
	view          load.View
	service       rules.Service
	kind          rules.Keyed
	now           clock.Millis
	shards        []table.Shard
	overrides     []table.Override
	members       []*member
	byIncarnation map[table.Incarnation]*member
	idle          float64 // what a shard weighs without requests
	total         float64
	requests      float64 // per second
	moving        int
	out           []order.Command
}

// member is a member that may own shards.
type member struct {
	member table.Member
	share  float64 // of the total; all are 1 in sum
	load   float64
	owned  []table.Shard
}

func (m *member) incarnation() table.Incarnation { return m.member.Incarnation() }

func newPlanner(y Policy, t *table.Table, v load.View, s rules.Service, k rules.Keyed, now clock.Millis) *planner {
	p := &planner{policy: y, table: t, view: v, service: s, kind: k, now: now, byIncarnation: map[table.Incarnation]*member{}}
	p.overrides = t.Overrides(s.Name())
	p.shards = make([]table.Shard, 0, k.Shards()+len(p.overrides))
	for i := range k.Shards() {
		p.shards = append(p.shards, table.Shard(i))
	}
	for _, o := range p.overrides {
		p.shards = append(p.shards, o.Shard())
	}
	p.enlist()
	p.weigh()
	for _, sh := range p.shards {
		p.count(sh)
	}
	return p
}

// enlist takes the members that may own shards, with their shares.
func (p *planner) enlist() {
	var sum float64
	for _, m := range p.table.MembersOf(p.service.Name()) {
		if _, leaving := m.Phase().(table.Leaving); leaving {
			continue
		}
		e := &member{member: m, share: p.share(m)}
		sum += e.share
		p.members = append(p.members, e)
		p.byIncarnation[m.Incarnation()] = e
	}
	for _, m := range p.members {
		m.share /= sum
	}
}

// share returns the part of a full share that a member may take.
func (p *planner) share(m table.Member) float64 {
	if _, priced := p.policy.(Priced); !priced {
		return 1
	}
	if _, warming := m.Phase().(table.Warming); !warming || p.service.WarmUp() <= 0 {
		return 1
	}
	since := p.now.Sub(p.view.Joined(m.Incarnation()))
	return min(max(float64(since)/float64(p.service.WarmUp()), leastShare), 1)
}

// weigh finds what the shards weigh without and with requests.
func (p *planner) weigh() {
	var work float64
	for _, sh := range p.shards {
		t := p.trend(sh)
		p.requests += t.Requests()
		work += t.Work()
	}
	p.idle = max(idleShare*work/float64(len(p.shards)), idleRate)
	for _, sh := range p.shards {
		p.total += p.weight(sh)
	}
}

func (p *planner) trend(sh table.Shard) load.Trend {
	t, _ := p.view.Trend(load.NewPlace(p.service.Name(), sh))
	return t
}

// weight returns the load of a shard, in requests per second. The baselines count
// shards.
func (p *planner) weight(sh table.Shard) float64 {
	switch p.policy.(type) {
	case Priced:
		w := p.trend(sh).Work()
		if sh < table.FirstOverride {
			w += p.idle
		}
		return w
	case Even, Static:
	}
	return 1
}

func (p *planner) holding(sh table.Shard) table.Holding { return p.table.Holding(p.service.Name(), sh) }

func (p *planner) count(sh table.Shard) {
	switch h := p.holding(sh).(type) {
	case table.Vacant:
	case table.Owned:
		if m, ok := p.byIncarnation[h.Owner()]; ok {
			m.load += p.weight(sh)
			m.owned = append(m.owned, sh)
		}
	case table.Moving:
		p.moving++
		if m, ok := p.byIncarnation[h.To()]; ok {
			m.load += p.weight(sh)
		}
	}
}

// level returns the load of a member beside its share; 1 is even.
func (p *planner) level(m *member) float64 { return m.load / (m.share * p.total) }

func (p *planner) compare(a, b *member) int { return cmp.Compare(a.load/a.share, b.load/b.share) }

func (p *planner) least() *member { return slices.MinFunc(p.members, p.compare) }

func (p *planner) most() *member { return slices.MaxFunc(p.members, p.compare) }
