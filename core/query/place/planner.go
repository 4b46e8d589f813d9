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

// Shares of new members and loads of idle hash ranges.
const (
	// minWarmUpShare is the fraction of a full share that a member gets right after it joined.
	minWarmUpShare = 0.1
	// idleLoadFraction is the load that a hash range has without requests, as a fraction of the
	// mean load of a shard, so that idle ranges are balanced too.
	idleLoadFraction = 0.1
	// minIdleLoad is the lower bound of that load, in requests per second.
	minIdleLoad = 0.5
)

// planner plans the shards of one service that is partitioned by the hash of its keys.
type planner struct {
	policy        Policy
	table         *table.Table
	view          load.View
	service       rules.Service
	kind          rules.Keyed
	now           clock.Millis
	shards        []*shard
	dedicated     []dedicatedKey
	members       []*member
	byIncarnation map[table.Incarnation]*member
	idleLoad      float64 // added to the load of each hash range
	totalLoad     float64
	requestRate   float64 // requests per second
	movesInFlight int
	commands      []logcmd.Command
}

// member is a member of the service that is eligible to own shards.
type member struct {
	member table.Member
	share  float64 // fraction of the total load that it should get; the shares of all members sum to 1
	load   float64
	owned  []*shard
}

// shard is a hash range or the dedicated shard of a single key.
type shard struct {
	number    table.Shard
	ownership table.Ownership
	stats     load.ShardStats
	load      float64
}

func (m *member) incarnation() table.Incarnation { return m.member.Incarnation() }

func newPlanner(y Policy, t *table.Table, v load.View, s rules.Service, k rules.Keyed, now clock.Millis) *planner {
	p := &planner{policy: y, table: t, view: v, service: s, kind: k, now: now, byIncarnation: map[table.Incarnation]*member{}}
	overrides := t.Overrides(s.Name())
	p.shards = make([]*shard, 0, k.Shards()+len(overrides))
	for i := range k.Shards() {
		p.addShard(table.Shard(i))
	}
	for _, o := range overrides {
		p.addShard(o.Shard())
		p.dedicated = append(p.dedicated, dedicatedKey{key: o.Key(), dedicated: p.shards[len(p.shards)-1], hashRange: p.hashRangeOf(o.Key())})
	}
	p.addMembers()
	p.computeLoads()
	for _, sh := range p.shards {
		p.attribute(sh)
	}
	return p
}

func (p *planner) addShard(number table.Shard) {
	name := p.service.Name()
	stats, _ := p.view.ShardStats(load.NewShardRef(name, number))
	p.shards = append(p.shards, &shard{number: number, ownership: p.table.Ownership(name, number), stats: stats})
}

// addMembers collects the eligible members and computes their shares. Members that warm up get
// a reduced share unless all of them do.
func (p *planner) addMembers() {
	warming := 0
	for _, m := range p.table.MembersOf(p.service.Name()) {
		if p.table.ZoneDrained(m.Zone()) {
			continue
		}
		switch m.Phase().(type) {
		case table.Leaving:
			continue
		case table.Warming:
			warming++
		case table.Serving:
		}
		eligible := &member{member: m, share: 1}
		p.members = append(p.members, eligible)
		p.byIncarnation[m.Incarnation()] = eligible
	}
	var sum float64
	for _, m := range p.members {
		if warming < len(p.members) {
			m.share = p.shareOf(m.member)
		}
		sum += m.share
	}
	for _, m := range p.members {
		m.share /= sum
	}
}

// shareOf returns the fraction of a full share that a member may take while others serve. It
// grows linearly from minWarmUpShare to 1 over the warm-up time.
func (p *planner) shareOf(m table.Member) float64 {
	if _, costBased := p.policy.(CostBased); !costBased {
		return 1
	}
	if _, warming := m.Phase().(table.Warming); !warming || p.service.WarmUp() <= 0 {
		return 1
	}
	since := p.now.Sub(p.view.Joined(m.Incarnation()))
	return min(max(float64(since)/float64(p.service.WarmUp()), minWarmUpShare), 1)
}

// computeLoads sets the idle load, the load of each shard, and the totals.
func (p *planner) computeLoads() {
	var work float64
	for _, sh := range p.shards {
		p.requestRate += sh.stats.RequestRate()
		work += sh.stats.WeightedRate()
	}
	p.idleLoad = max(idleLoadFraction*work/float64(len(p.shards)), minIdleLoad)
	for _, sh := range p.shards {
		sh.load = p.loadOf(sh)
		p.totalLoad += sh.load
	}
}

// loadOf returns the load of a shard in requests per second, each weighted by its cost. The
// baseline policies count every shard as 1.
func (p *planner) loadOf(sh *shard) float64 {
	switch p.policy.(type) {
	case CostBased:
		w := sh.stats.WeightedRate()
		if sh.number < table.FirstOverride {
			w += p.idleLoad
		}
		return w
	case EqualCounts, Static:
	}
	return 1
}

// attribute adds the load of a shard to its owner, or to its next owner while it moves.
func (p *planner) attribute(sh *shard) {
	switch h := sh.ownership.(type) {
	case table.Vacant:
	case table.Owned:
		if m, ok := p.byIncarnation[h.Owner()]; ok {
			m.load += sh.load
			m.owned = append(m.owned, sh)
		}
	case table.Moving:
		p.movesInFlight++
		if m, ok := p.byIncarnation[h.To()]; ok {
			m.load += sh.load
		}
	}
}

// relativeLoad returns the load of a member divided by its share of the total; 1 is balanced.
func (p *planner) relativeLoad(m *member) float64 { return m.load / (m.share * p.totalLoad) }

func (p *planner) compareLoad(a, b *member) int { return cmp.Compare(a.load/a.share, b.load/b.share) }

func (p *planner) leastLoaded() *member { return slices.MinFunc(p.members, p.compareLoad) }

func (p *planner) mostLoaded() *member { return slices.MaxFunc(p.members, p.compareLoad) }
