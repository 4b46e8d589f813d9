package place_test

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"verbenabank/core/clock"
	"verbenabank/core/command/apply"
	"verbenabank/core/command/stats"
	"verbenabank/core/command/topk"
	"verbenabank/core/query/place"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

const (
	service         = "catalogue"
	ranges          = 64
	keyCount        = 2000
	tick            = 100 * clock.Millisecond
	requestsPerTick = 40
	leaseTimeout    = 800 * clock.Millisecond
)

// simulation runs a policy with the real collector and the real state machine on simulated members
// and load.
type simulation struct {
	policy         place.Policy
	rand           *rand.Rand
	now            clock.Millis
	fleet          *fleet.State
	previous       *table.Table // before the last command
	index          uint64
	collector      *stats.Collector
	cumulativeLoad []float64 // running sum of the keys' relative loads
	hotKey         string
	hotPercent     int
	dead           map[table.Incarnation]bool
	next           table.Incarnation
	shardRequests  map[table.Incarnation]map[table.Shard]uint64
	keyRequests    map[table.Incarnation]*topk.Sketch
	result         result
}

// result holds the measurements of a run.
type result struct {
	busiestLoad float64      // sum over reports of the busiest member's requests times the member count
	totalLoad   float64      // requests of all members
	churn       int          // keys that changed their owner
	voluntary   int          // those among them whose owner could have kept them
	unserved    clock.Millis // key-milliseconds without a live owner
	vacant      clock.Millis // shard-milliseconds without an owner in the table
}

// newSimulation returns a simulation with instances i0, i1 and so on. The load is uniform over
// the keys if exponent is 0; else key k gets a share proportional to 1/(k+1).
func newSimulation(y place.Policy, seed uint64, w rules.Weights, exponent float64, members int) *simulation {
	d := &simulation{policy: y, rand: rand.New(rand.NewPCG(seed, 7)), fleet: fleet.New(), collector: stats.New(0), dead: map[table.Incarnation]bool{}, next: 1}
	for k := range keyCount {
		weight := 1.0
		if exponent > 0 {
			weight = 1 / float64(k+1)
		}
		if k > 0 {
			weight += d.cumulativeLoad[k-1]
		}
		d.cumulativeLoad = append(d.cumulativeLoad, weight)
	}
	s := rules.NewService(service, rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), ranges)), rules.WithWeights(w))
	d.commit(logcmd.NewSetRules(rules.New(1, "d", s), "i", "f"))
	for n := range members {
		d.join(fmt.Sprint("i", n))
	}
	d.resetCounts()
	return d
}

func (d *simulation) join(instance string) table.Incarnation {
	i := d.next
	d.next++
	d.commit(logcmd.NewJoin(table.NewMember(i, instance, "z", "a", service, table.Warming{})))
	return i
}

// share returns the fraction of the hash ranges that a member owns.
func (d *simulation) share(i table.Incarnation) float64 {
	owned := 0
	for s := range table.Shard(ranges) {
		if d.ownerOf(s) == i {
			owned++
		}
	}
	return float64(owned) / ranges
}

// owner returns the member that serves the key, or 0 if none does.
func (d *simulation) owner(key string) table.Incarnation {
	return d.ownerOf(d.fleet.Table().ShardOf(service, key, ranges))
}

// ownerOf returns the member that serves the shard, or 0 if none does.
func (d *simulation) ownerOf(s table.Shard) table.Incarnation {
	switch h := d.fleet.Table().Ownership(service, s).(type) {
	case table.Vacant:
	case table.Owned:
		return h.Owner()
	case table.Moving:
		return h.From()
	}
	return 0
}

func (d *simulation) resetCounts() {
	d.shardRequests, d.keyRequests = map[table.Incarnation]map[table.Shard]uint64{}, map[table.Incarnation]*topk.Sketch{}
}

func (d *simulation) commit(c logcmd.Command) {
	d.index++
	d.previous = d.fleet.Table()
	var effects []apply.Effect
	d.fleet, effects = apply.Apply(d.fleet, d.index, 0, c)
	for _, e := range effects {
		if c, ok := e.(apply.Changed); ok {
			for _, c := range c.Changes() {
				d.recordChange(c)
			}
		}
	}
}

// recordChange tells the collector of a change of the table, and counts keys that change owners.
func (d *simulation) recordChange(c table.Change) {
	at := func(s table.Shard) load.ShardRef { return load.NewShardRef(service, s) }
	switch c := c.(type) {
	case table.MemberSet:
		if !d.collector.Knows(c.Member().Incarnation()) {
			d.collector.MemberJoined(c.Member(), d.now)
		}
	case table.MemberRemoved:
		d.collector.MemberLeft(c.Incarnation())
	case table.OwnershipSet:
		before := d.collector.LastMoved(at(c.Shard()))
		d.collector.OwnershipChanged(at(c.Shard()), c.Ownership(), d.now)
		if d.collector.LastMoved(at(c.Shard())) != before {
			d.result.churn += keysOf(c.Shard())
			if d.voluntary(c.Shard()) {
				d.result.voluntary += keysOf(c.Shard())
			}
		}
	case table.OverrideSet:
		d.collector.KeyPlaced(c.Key(), at(table.HashShard(c.Key(), ranges)), at(c.Shard()))
	case table.OverrideRemoved:
		d.collector.KeyReturned(c.Key(), at(table.HashShard(c.Key(), ranges)))
	case table.RulesSet:
	}
}

// voluntary reports whether the shard moved off a member that is not leaving.
func (d *simulation) voluntary(s table.Shard) bool {
	h, ok := d.previous.Ownership(service, s).(table.Moving)
	m, _ := d.previous.Member(h.From())
	_, leaving := m.Phase().(table.Leaving)
	return ok && !leaving
}

func keysOf(s table.Shard) int {
	if s >= table.FirstOverride {
		return 1
	}
	return keyCount / ranges
}

// run advances the simulation to the given instant.
func (d *simulation) run(until clock.Millis) {
	for d.now < until {
		d.now = d.now.Add(tick)
		for _, c := range place.Plan(d.policy, d.fleet.Table(), d.collector.View(), d.now) {
			d.commit(c)
		}
		d.completeMoves()
		for range requestsPerTick {
			d.request()
		}
		if d.now%clock.Second == 0 {
			d.report()
		}
	}
}

// completeMoves ends the moves of the last tick and counts shards without a live owner.
func (d *simulation) completeMoves() {
	t := d.fleet.Table()
	for _, s := range t.Shards(service) {
		owner := d.ownerOf(s)
		switch h := t.Ownership(service, s).(type) {
		case table.Vacant:
			d.result.vacant += tick
		case table.Owned:
		case table.Moving:
			if !d.dead[owner] {
				d.commit(logcmd.NewRelease(service, s, h.Epoch()))
			}
		}
		if d.dead[owner] || owner == 0 {
			d.result.unserved += tick * clock.Millis(keysOf(s))
		}
	}
}

// request counts one request for a random key, unless the key has no live owner.
func (d *simulation) request() {
	key := d.hotKey
	if d.hotKey == "" || d.rand.IntN(100) >= d.hotPercent {
		point := d.rand.Float64() * d.cumulativeLoad[keyCount-1]
		key = fmt.Sprint("k", sort.SearchFloat64s(d.cumulativeLoad, point))
	}
	s := d.fleet.Table().ShardOf(service, key, ranges)
	owner := d.ownerOf(s)
	if owner == 0 || d.dead[owner] {
		return
	}
	if d.shardRequests[owner] == nil {
		d.shardRequests[owner], d.keyRequests[owner] = map[table.Shard]uint64{}, topk.New(64)
	}
	d.shardRequests[owner][s]++
	d.keyRequests[owner].Add(key)
}

// report passes the counts of the last second to the collector and adds them to the result.
func (d *simulation) report() {
	var most, sum, members float64
	for _, m := range d.fleet.Table().MembersOf(service) {
		i := m.Incarnation()
		if d.dead[i] {
			continue
		}
		var shards []load.Shard
		var total float64
		for s, n := range d.shardRequests[i] {
			shards = append(shards, load.NewShard(s, n, 3*n))
			total += float64(n)
		}
		var keys []load.Key
		if sketch, ok := d.keyRequests[i]; ok {
			for _, k := range sketch.Top(8) {
				keys = append(keys, load.NewKey(k.Key(), k.Requests()))
			}
		}
		d.collector.RecordReport(i, load.NewReport(shards, keys), d.now)
		most, sum, members = max(most, total), sum+total, members+1
	}
	d.result.busiestLoad += most * members
	d.result.totalLoad += sum
	d.resetCounts()
}

// kill stops a member without notice; its lease expires after leaseTimeout.
func (d *simulation) kill(i table.Incarnation) {
	d.dead[i] = true
	d.expire(i, logcmd.LeaseExpired)
}

// leave lets a member hand over its shards, and then removes it.
func (d *simulation) leave(i table.Incarnation) {
	d.commit(logcmd.NewSetPhase(i, table.Leaving{}))
	d.expire(i, logcmd.Left)
}

// expire removes a member after leaseTimeout.
func (d *simulation) expire(i table.Incarnation, c logcmd.Cause) {
	d.run(d.now.Add(leaseTimeout))
	d.commit(logcmd.NewExpire(i, c))
}
