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
	service  = "catalogue"
	ranges   = 64
	keyCount = 2000
	tick     = 100 * clock.Millisecond
	perTick  = 40 // requests
	lapse    = 800 * clock.Millisecond
)

// world runs a policy with the gauge and the commands of the log on a fake of
// members and load.
type world struct {
	policy  place.Policy
	rand    *rand.Rand
	now     clock.Millis
	fleet   *fleet.State
	before  *table.Table // the last command
	index   uint64
	gauge   *stats.Collector
	sums    []float64 // of the keys' parts of the load
	hot     string
	percent int
	dead    map[table.Incarnation]bool
	next    table.Incarnation
	counts  map[table.Incarnation]map[table.Shard]uint64
	keys    map[table.Incarnation]*topk.Sketch
	result  result
}

// result is what a run measured.
type result struct {
	imbalance float64 // busiest member over the mean, weighed by load
	windows   float64
	churn     int          // keys that changed their owner
	chosen    int          // those whose owner could have kept them
	missing   clock.Millis // key-milliseconds without an owner that lives
	vacant    clock.Millis // the longest time a shard had no owner in the table
}

// newWorld returns members i0, i1 and so on. Key k has a part of the load in
// proportion to 1/(k+1)^exponent.
func newWorld(y place.Policy, seed uint64, w rules.Weights, exponent float64, members int) *world {
	d := &world{policy: y, rand: rand.New(rand.NewPCG(seed, 7)), fleet: fleet.New(), gauge: stats.New(0), dead: map[table.Incarnation]bool{}, next: 1}
	for k := range keyCount {
		part := 1.0
		if exponent > 0 {
			part = 1 / float64(k+1)
		}
		if k > 0 {
			part += d.sums[k-1]
		}
		d.sums = append(d.sums, part)
	}
	s := rules.NewService(service, rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), ranges)), rules.WithWeights(w))
	d.commit(logcmd.NewSetRules(rules.New(1, "d", s), "i", "f"))
	for n := range members {
		d.join(fmt.Sprint("i", n))
	}
	d.clear()
	return d
}

func (d *world) join(instance string) table.Incarnation {
	i := d.next
	d.next++
	d.commit(logcmd.NewJoin(table.NewMember(i, instance, "z", "a", service, table.Warming{})))
	return i
}

// share returns the part of the hash ranges that a member owns.
func (d *world) share(i table.Incarnation) float64 {
	owned := 0
	for s := range table.Shard(ranges) {
		if d.ownerOf(s) == i {
			owned++
		}
	}
	return float64(owned) / ranges
}

// owner returns the member that serves the key, or 0.
func (d *world) owner(key string) table.Incarnation {
	return d.ownerOf(d.fleet.Table().ShardOf(service, key, ranges))
}

// ownerOf returns the member that serves the shard, or 0.
func (d *world) ownerOf(s table.Shard) table.Incarnation {
	switch h := d.fleet.Table().Ownership(service, s).(type) {
	case table.Vacant:
	case table.Owned:
		return h.Owner()
	case table.Moving:
		return h.From()
	}
	return 0
}

func (d *world) clear() {
	d.counts, d.keys = map[table.Incarnation]map[table.Shard]uint64{}, map[table.Incarnation]*topk.Sketch{}
}

func (d *world) commit(c logcmd.Command) {
	d.index++
	d.before = d.fleet.Table()
	var effects []apply.Effect
	d.fleet, effects = apply.Apply(d.fleet, d.index, 0, c)
	for _, e := range effects {
		if c, ok := e.(apply.Changed); ok {
			for _, c := range c.Changes() {
				d.follow(c)
			}
		}
	}
}

func (d *world) follow(c table.Change) {
	at := func(s table.Shard) load.ShardRef { return load.NewShardRef(service, s) }
	switch c := c.(type) {
	case table.MemberSet:
		if !d.gauge.Knows(c.Member().Incarnation()) {
			d.gauge.MemberJoined(c.Member(), d.now)
		}
	case table.MemberRemoved:
		d.gauge.MemberLeft(c.Incarnation())
	case table.OwnershipSet:
		before := d.gauge.LastMoved(at(c.Shard()))
		d.gauge.HoldingChanged(at(c.Shard()), c.Ownership(), d.now)
		if d.gauge.LastMoved(at(c.Shard())) != before {
			d.result.churn += keysOf(c.Shard())
			if d.chose(c.Shard()) {
				d.result.chosen += keysOf(c.Shard())
			}
		}
	case table.OverrideSet:
		d.gauge.KeyPlaced(c.Key(), at(table.HashShard(c.Key(), ranges)), at(c.Shard()))
	case table.OverrideRemoved:
		d.gauge.KeyReturned(c.Key(), at(table.HashShard(c.Key(), ranges)))
	case table.RulesSet:
	}
}

// chose reports whether a shard moved off a member that stays.
func (d *world) chose(s table.Shard) bool {
	h, ok := d.before.Ownership(service, s).(table.Moving)
	m, _ := d.before.Member(h.From())
	_, leaving := m.Phase().(table.Leaving)
	return ok && !leaving
}

func keysOf(s table.Shard) int {
	if s >= table.FirstOverride {
		return 1
	}
	return keyCount / ranges
}

// run lets the world go on until the instant.
func (d *world) run(until clock.Millis) {
	for d.now < until {
		d.now = d.now.Add(tick)
		for _, c := range place.Plan(d.policy, d.fleet.Table(), d.gauge.View(), d.now) {
			d.commit(c)
		}
		d.pass()
		for range perTick {
			d.request()
		}
		if d.now%clock.Second == 0 {
			d.report()
		}
	}
}

// pass ends the moves of the last tick and counts what has no owner.
func (d *world) pass() {
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
			d.result.missing += tick * clock.Millis(keysOf(s))
		}
	}
}

func (d *world) request() {
	key := d.hot
	if d.hot == "" || d.rand.IntN(100) >= d.percent {
		part := d.rand.Float64() * d.sums[keyCount-1]
		key = fmt.Sprint("k", sort.SearchFloat64s(d.sums, part))
	}
	s := d.fleet.Table().ShardOf(service, key, ranges)
	owner := d.ownerOf(s)
	if owner == 0 || d.dead[owner] {
		return
	}
	if d.counts[owner] == nil {
		d.counts[owner], d.keys[owner] = map[table.Shard]uint64{}, topk.New(64)
	}
	d.counts[owner][s]++
	d.keys[owner].Add(key)
}

// report hands the counts of a second to the gauge, and adds them to the result.
func (d *world) report() {
	var most, sum, members float64
	for _, m := range d.fleet.Table().MembersOf(service) {
		i := m.Incarnation()
		if d.dead[i] {
			continue
		}
		var shards []load.Shard
		var total float64
		for s, n := range d.counts[i] {
			shards = append(shards, load.NewShard(s, n, 3*n))
			total += float64(n)
		}
		var keys []load.Key
		if sketch, ok := d.keys[i]; ok {
			for _, k := range sketch.Top(8) {
				keys = append(keys, load.NewKey(k.Key(), k.Requests()))
			}
		}
		d.gauge.RecordReport(i, load.NewReport(shards, keys), d.now)
		most, sum, members = max(most, total), sum+total, members+1
	}
	d.result.imbalance += most * members
	d.result.windows += sum
	d.clear()
}

// kill ends a member, whose lease then runs out.
func (d *world) kill(i table.Incarnation) {
	d.dead[i] = true
	d.gone(i, logcmd.LeaseExpired)
}

// leave hands over what a member owns, and removes it.
func (d *world) leave(i table.Incarnation) {
	d.commit(logcmd.NewSetPhase(i, table.Leaving{}))
	d.gone(i, logcmd.Left)
}

func (d *world) gone(i table.Incarnation, c logcmd.Cause) {
	d.run(d.now.Add(lapse))
	d.commit(logcmd.NewExpire(i, c))
}
