package place

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
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
	shards        []*shard
	placed        []placed
	members       []*member
	byIncarnation map[table.Incarnation]*member
	idle          float64 // what a shard weighs without requests
	total         float64
	requests      float64 // per second
	moving        int
	out           []logcmd.Command
}

// member is a member that may own shards.
type member struct {
	member table.Member
	share  float64 // of the total; all are 1 in sum
	load   float64
	owned  []*shard
}

// shard is a hash range or a key placed alone.
type shard struct {
	number  table.Shard
	holding table.Ownership
	trend   load.ShardStats
	load    float64
}

func (m *member) incarnation() table.Incarnation { return m.member.Incarnation() }

func newPlanner(y Policy, t *table.Table, v load.View, s rules.Service, k rules.Keyed, now clock.Millis) *planner {
	p := &planner{policy: y, table: t, view: v, service: s, kind: k, now: now, byIncarnation: map[table.Incarnation]*member{}}
	overrides := t.Overrides(s.Name())
	p.shards = make([]*shard, 0, k.Shards()+len(overrides))
	for i := range k.Shards() {
		p.add(table.Shard(i))
	}
	for _, o := range overrides {
		p.add(o.Shard())
		p.placed = append(p.placed, placed{key: o.Key(), alone: p.shards[len(p.shards)-1], base: p.base(o.Key())})
	}
	p.enlist()
	p.weigh()
	for _, sh := range p.shards {
		p.count(sh)
	}
	return p
}

func (p *planner) add(number table.Shard) {
	name := p.service.Name()
	trend, _ := p.view.ShardStats(load.NewShardRef(name, number))
	p.shards = append(p.shards, &shard{number: number, holding: p.table.Ownership(name, number), trend: trend})
}

// enlist takes the members that may own shards, with their shares.
func (p *planner) enlist() {
	warming := 0
	for _, m := range p.table.MembersOf(p.service.Name()) {
		switch m.Phase().(type) {
		case table.Leaving:
			continue
		case table.Warming:
			warming++
		case table.Serving:
		}
		e := &member{member: m, share: 1}
		p.members = append(p.members, e)
		p.byIncarnation[m.Incarnation()] = e
	}
	var sum float64
	for _, m := range p.members {
		if warming < len(p.members) {
			m.share = p.share(m.member)
		}
		sum += m.share
	}
	for _, m := range p.members {
		m.share /= sum
	}
}

// share returns the part of a full share that a member may take while others
// serve.
func (p *planner) share(m table.Member) float64 {
	if _, priced := p.policy.(CostBased); !priced {
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
		p.requests += sh.trend.RequestRate()
		work += sh.trend.WeightedRate()
	}
	p.idle = max(idleShare*work/float64(len(p.shards)), idleRate)
	for _, sh := range p.shards {
		sh.load = p.weight(sh)
		p.total += sh.load
	}
}

// weight returns the load of a shard, in requests per second. The baselines count
// shards.
func (p *planner) weight(sh *shard) float64 {
	switch p.policy.(type) {
	case CostBased:
		w := sh.trend.WeightedRate()
		if sh.number < table.FirstOverride {
			w += p.idle
		}
		return w
	case Even, Static:
	}
	return 1
}

func (p *planner) count(sh *shard) {
	switch h := sh.holding.(type) {
	case table.Vacant:
	case table.Owned:
		if m, ok := p.byIncarnation[h.Owner()]; ok {
			m.load += sh.load
			m.owned = append(m.owned, sh)
		}
	case table.Moving:
		p.moving++
		if m, ok := p.byIncarnation[h.To()]; ok {
			m.load += sh.load
		}
	}
}

// level returns the load of a member beside its share; 1 is even.
func (p *planner) level(m *member) float64 { return m.load / (m.share * p.total) }

func (p *planner) compare(a, b *member) int { return cmp.Compare(a.load/a.share, b.load/b.share) }

func (p *planner) least() *member { return slices.MinFunc(p.members, p.compare) }

func (p *planner) most() *member { return slices.MaxFunc(p.members, p.compare) }
