// Package gauge keeps the leader's picture of its members: since when they are
// known, how much load their shards take, which keys are hot, and when shards
// changed their owner.
package stats

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// Collector is the picture. Its memory is bounded by members and shards. It is for
// the control goroutine only.
type Collector struct {
	began   clock.Millis
	members map[table.Incarnation]*member
	joined  map[table.Incarnation]clock.Millis
	trends  map[load.ShardRef]load.ShardStats
	owners  map[load.ShardRef]owner
	alone   map[name]load.ShardRef
	keys    map[table.Incarnation]map[string]load.KeyHistory
	loaded  map[string]clock.Millis // the last report of any load, by service
	onsets  map[string]clock.Millis // the first report of load after none, by service
	costs   map[string]float64      // milliseconds of a mean request, by service
	rates   map[string][]float64    // of the cells of ordered services
	paces   map[table.Incarnation]load.TargetStats
	counted map[table.Incarnation]clock.Millis // the last report of cells
	moved   map[string]clock.Millis            // the last change of owner of a span, by service
}

// member is what is known of one member.
type member struct {
	service  string
	instance string
	reported clock.Millis
	seen     bool // whether it ever reported
	places   map[load.ShardRef]bool
}

// owner is the last owner of a shard.
type owner struct {
	incarnation table.Incarnation
	instance    string
}

// name is a key of a service.
type name struct {
	service string
	key     string
}

// New returns a gauge that knows no member at the instant.
func New(now clock.Millis) *Collector {
	return &Collector{
		began:   now,
		members: map[table.Incarnation]*member{},
		joined:  map[table.Incarnation]clock.Millis{},
		trends:  map[load.ShardRef]load.ShardStats{},
		owners:  map[load.ShardRef]owner{},
		alone:   map[name]load.ShardRef{},
		keys:    map[table.Incarnation]map[string]load.KeyHistory{},
		loaded:  map[string]clock.Millis{},
		onsets:  map[string]clock.Millis{},
		costs:   map[string]float64{},
		rates:   map[string][]float64{},
		paces:   map[table.Incarnation]load.TargetStats{},
		counted: map[table.Incarnation]clock.Millis{},
		moved:   map[string]clock.Millis{},
	}
}

// MemberJoined takes note of a member first seen at now.
func (g *Collector) MemberJoined(m table.Member, now clock.Millis) {
	i := m.Incarnation()
	g.members[i] = &member{service: m.Service(), instance: m.Instance(), reported: now, places: map[load.ShardRef]bool{}}
	g.joined[i] = now
	g.keys[i] = map[string]load.KeyHistory{}
}

// MemberLeft forgets a member.
func (g *Collector) MemberLeft(i table.Incarnation) {
	delete(g.members, i)
	delete(g.joined, i)
	delete(g.keys, i)
	delete(g.paces, i)
	delete(g.counted, i)
}

// Knows reports whether the member was seen.
func (g *Collector) Knows(i table.Incarnation) bool {
	_, ok := g.members[i]
	return ok
}

// HoldingChanged takes note of the holding of a shard at now.
func (g *Collector) HoldingChanged(p load.ShardRef, h table.Ownership, now clock.Millis) {
	switch h := h.(type) {
	case table.Vacant, table.Moving:
	case table.Owned:
		g.owned(p, h.Owner(), now)
	}
}

func (g *Collector) owned(p load.ShardRef, i table.Incarnation, now clock.Millis) {
	last, known := g.owners[p]
	if known && last.incarnation == i {
		return
	}
	if m, ok := g.members[last.incarnation]; ok {
		delete(m.places, p)
	}
	next := owner{incarnation: i}
	if m, ok := g.members[i]; ok {
		m.places[p] = true
		next.instance = m.instance
	}
	g.owners[p] = next
	t := g.trends[p]
	if known {
		t = t.WithMove(now, last.instance)
	}
	g.trends[p] = t
}

// KeyPlaced takes note of a key that left the shard base for a shard of its own.
// The load of the key goes with it.
func (g *Collector) KeyPlaced(key string, base, alone load.ShardRef) {
	g.alone[name{service: base.Service(), key: key}] = alone
	g.shift(base, alone, g.keys[g.owners[base].incarnation][key].Rate())
}

// KeyReturned takes note of a key that went back from its own shard to base.
func (g *Collector) KeyReturned(key string, base load.ShardRef) {
	n := name{service: base.Service(), key: key}
	alone, ok := g.alone[n]
	if !ok {
		return
	}
	g.shift(alone, base, g.trends[alone].RequestRate())
	if m, ok := g.members[g.owners[alone].incarnation]; ok {
		delete(m.places, alone)
	}
	delete(g.owners, alone)
	delete(g.trends, alone)
	delete(g.alone, n)
}

// shift moves requests per second from one shard to another. A key that got hot
// just now may have more than the smoothed rate of its hash range.
func (g *Collector) shift(from, to load.ShardRef, rate float64) {
	a, b := g.trends[from], g.trends[to]
	if rate <= 0 || a.RequestRate() <= 0 {
		return
	}
	cost := a.WeightedRate() / a.RequestRate()
	left := max(0, a.RequestRate()-rate)
	g.trends[from] = a.WithLoad(left, cost*left)
	g.trends[to] = b.WithLoad(b.RequestRate()+rate, b.WeightedRate()+cost*rate)
}

// View returns the picture at this instant. It is void after the next command.
func (g *Collector) View() load.View {
	return load.NewView(load.WithObservedSince(g.began, g.onsets), load.WithJoined(g.joined), load.WithShardStats(g.trends), load.WithHotKeys(g.keys),
		load.WithCellRates(g.rates, g.moved), load.WithTargetStats(g.paces))
}

// LastMoved returns when a shard last changed its owner, 0 if it was not seen to.
func (g *Collector) LastMoved(p load.ShardRef) clock.Millis { return g.trends[p].Moved() }
