// Package stats collects the leader's load statistics: when members joined, the load of
// their shards, their hot keys, and when shards changed their owner.
package stats

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// Collector collects the statistics from reports and changes of the table. Its memory is bounded by the
// number of members and shards. It must be used by the control goroutine only.
type Collector struct {
	startedAt       clock.Millis
	members         map[table.Incarnation]*member
	joined          map[table.Incarnation]clock.Millis
	shardStats      map[load.ShardRef]load.ShardStats
	owners          map[load.ShardRef]owner
	overrides       map[serviceKey]load.ShardRef
	hotKeys         map[table.Incarnation]map[string]load.KeyHistory
	lastLoadAt      map[string]clock.Millis // last report with any load, by service
	loadOnsets      map[string]clock.Millis // first report with load after an idle period, by service
	meanCosts       map[string]float64      // mean service time in milliseconds, by service
	cellRates       map[string][]float64    // requests per second of each cell, by ordered service
	targetStats     map[table.Incarnation]load.TargetStats
	cellsReportedAt map[table.Incarnation]clock.Millis // last accepted report of cells
	spanMovedAt     map[string]clock.Millis            // last change of owner of any span, by service
	capacityWindow  clock.Millis                       // 0 to take the service times of targets as reported
	serviceTimes    map[table.Incarnation]serviceTime  // of targets, averaged over capacityWindow
}

// CapacityWindow is a window for WithCapacityWindow: that of the request rates, with which capacities are compared.
const CapacityWindow clock.Millis = cellDecayMs

// Option sets one property of a Collector.
type Option func(*Collector)

// WithCapacityWindow averages the service times of targets of ordered services over the requests of a window, in
// milliseconds. A report alone covers few requests, and their service times differ widely.
func WithCapacityWindow(window clock.Millis) Option {
	return func(co *Collector) { co.capacityWindow = window }
}

// member holds what the reports of one member refer to.
type member struct {
	service     string
	instance    string
	reportedAt  clock.Millis
	hasReported bool // whether it has sent any report
	shards      map[load.ShardRef]bool
}

// owner is the last known owner of a shard.
type owner struct {
	incarnation table.Incarnation
	instance    string
}

// serviceKey identifies a key of a service.
type serviceKey struct {
	service string
	key     string
}

// New returns a collector without members that observes load from now on.
func New(now clock.Millis, opts ...Option) *Collector {
	co := &Collector{
		startedAt:       now,
		members:         map[table.Incarnation]*member{},
		joined:          map[table.Incarnation]clock.Millis{},
		shardStats:      map[load.ShardRef]load.ShardStats{},
		owners:          map[load.ShardRef]owner{},
		overrides:       map[serviceKey]load.ShardRef{},
		hotKeys:         map[table.Incarnation]map[string]load.KeyHistory{},
		lastLoadAt:      map[string]clock.Millis{},
		loadOnsets:      map[string]clock.Millis{},
		meanCosts:       map[string]float64{},
		cellRates:       map[string][]float64{},
		targetStats:     map[table.Incarnation]load.TargetStats{},
		cellsReportedAt: map[table.Incarnation]clock.Millis{},
		spanMovedAt:     map[string]clock.Millis{},
		serviceTimes:    map[table.Incarnation]serviceTime{},
	}
	for _, o := range opts {
		o(co)
	}
	return co
}

// MemberJoined adds a member that was first seen at now.
func (co *Collector) MemberJoined(m table.Member, now clock.Millis) {
	i := m.Incarnation()
	co.members[i] = &member{service: m.Service(), instance: m.Instance(), reportedAt: now, shards: map[load.ShardRef]bool{}}
	co.joined[i] = now
	co.hotKeys[i] = map[string]load.KeyHistory{}
}

// MemberReturned restarts the warm-up of a member whose zone is no longer drained, as if it had joined at now.
func (co *Collector) MemberReturned(i table.Incarnation, now clock.Millis) {
	if co.Knows(i) {
		co.joined[i] = now
	}
}

// MemberLeft removes a member. The load of its shards is kept for their next owner.
func (co *Collector) MemberLeft(i table.Incarnation) {
	delete(co.members, i)
	delete(co.joined, i)
	delete(co.hotKeys, i)
	delete(co.targetStats, i)
	delete(co.serviceTimes, i)
	delete(co.cellsReportedAt, i)
}

// Knows reports whether the member has joined and not left.
func (co *Collector) Knows(i table.Incarnation) bool {
	_, ok := co.members[i]
	return ok
}

// OwnershipChanged records the ownership of a shard at now. Only a new owner matters: a vacant or
// moving shard keeps the last one.
func (co *Collector) OwnershipChanged(r load.ShardRef, o table.Ownership, now clock.Millis) {
	switch o := o.(type) {
	case table.Vacant, table.Moving:
	case table.Owned:
		co.ownerChanged(r, o.Owner(), now)
	}
}

func (co *Collector) ownerChanged(p load.ShardRef, i table.Incarnation, now clock.Millis) {
	last, known := co.owners[p]
	if known && last.incarnation == i {
		return
	}
	if m, ok := co.members[last.incarnation]; ok {
		delete(m.shards, p)
	}
	next := owner{incarnation: i}
	if m, ok := co.members[i]; ok {
		m.shards[p] = true
		next.instance = m.instance
	}
	co.owners[p] = next
	t := co.shardStats[p]
	if known {
		t = t.WithMove(now, last.instance)
	}
	co.shardStats[p] = t
}

// KeyPlaced records that a key was moved from the shard base to a dedicated shard, together with its
// load.
func (co *Collector) KeyPlaced(key string, base, dedicated load.ShardRef) {
	co.overrides[serviceKey{service: base.Service(), key: key}] = dedicated
	co.shiftLoad(base, dedicated, co.hotKeys[co.owners[base].incarnation][key].Rate())
}

// KeyReturned records that a key was moved from its own shard back to base, together with its load.
func (co *Collector) KeyReturned(key string, base load.ShardRef) {
	n := serviceKey{service: base.Service(), key: key}
	dedicated, ok := co.overrides[n]
	if !ok {
		return
	}
	co.shiftLoad(dedicated, base, co.shardStats[dedicated].RequestRate())
	if m, ok := co.members[co.owners[dedicated].incarnation]; ok {
		delete(m.shards, dedicated)
	}
	delete(co.owners, dedicated)
	delete(co.shardStats, dedicated)
	delete(co.overrides, n)
}

// shiftLoad moves a request rate from one shard to another. The rate of a key that has just become
// hot may exceed the smoothed rate of its base shard.
func (co *Collector) shiftLoad(from, to load.ShardRef, rate float64) {
	a, b := co.shardStats[from], co.shardStats[to]
	if rate <= 0 || a.RequestRate() <= 0 {
		return
	}
	cost := a.WeightedRate() / a.RequestRate()
	remaining := max(0, a.RequestRate()-rate)
	co.shardStats[from] = a.WithLoad(remaining, cost*remaining)
	co.shardStats[to] = b.WithLoad(b.RequestRate()+rate, b.WeightedRate()+cost*rate)
}

// View returns the current statistics. It shares memory with the collector, so it is invalid after
// the next call that changes them.
func (co *Collector) View() load.View {
	return load.NewView(load.WithObservedSince(co.startedAt, co.loadOnsets), load.WithJoined(co.joined), load.WithShardStats(co.shardStats), load.WithHotKeys(co.hotKeys),
		load.WithCellRates(co.cellRates, co.spanMovedAt), load.WithTargetStats(co.targetStats))
}

// LastMoved returns when a shard last changed its owner, 0 if no change was observed.
func (co *Collector) LastMoved(p load.ShardRef) clock.Millis { return co.shardStats[p].Moved() }
