// Package gauge keeps the leader's picture of its members: since when they are
// known, how much load their shards take, which keys are hot, and when shards
// changed their owner.
package gauge

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// Gauge is the picture. Its memory is bounded by members and shards. It is for
// the control goroutine only.
type Gauge struct {
	startedAt       clock.Millis
	members         map[table.Incarnation]*member
	joined          map[table.Incarnation]clock.Millis
	trends          map[load.Place]load.Trend
	owners          map[load.Place]owner
	overrides       map[serviceKey]load.Place
	hotKeys         map[table.Incarnation]map[string]load.Heat
	lastLoadAt      map[string]clock.Millis // the last report of any load, by service
	loadOnsets      map[string]clock.Millis // the first report of load after none, by service
	meanCosts       map[string]float64      // milliseconds of a mean request, by service
	cellRates       map[string][]float64    // of the cells of ordered services
	paces           map[table.Incarnation]load.Pace
	cellsReportedAt map[table.Incarnation]clock.Millis // the last report of cells
	spanMovedAt     map[string]clock.Millis            // the last change of owner of a span, by service
}

// member is what is known of one member.
type member struct {
	service     string
	instance    string
	reportedAt  clock.Millis
	hasReported bool // whether it ever reported
	places      map[load.Place]bool
}

// owner is the last owner of a shard.
type owner struct {
	incarnation table.Incarnation
	instance    string
}

// serviceKey is a key of a service.
type serviceKey struct {
	service string
	key     string
}

// New returns a gauge that knows no member at the instant.
func New(now clock.Millis) *Gauge {
	return &Gauge{
		startedAt:       now,
		members:         map[table.Incarnation]*member{},
		joined:          map[table.Incarnation]clock.Millis{},
		trends:          map[load.Place]load.Trend{},
		owners:          map[load.Place]owner{},
		overrides:       map[serviceKey]load.Place{},
		hotKeys:         map[table.Incarnation]map[string]load.Heat{},
		lastLoadAt:      map[string]clock.Millis{},
		loadOnsets:      map[string]clock.Millis{},
		meanCosts:       map[string]float64{},
		cellRates:       map[string][]float64{},
		paces:           map[table.Incarnation]load.Pace{},
		cellsReportedAt: map[table.Incarnation]clock.Millis{},
		spanMovedAt:     map[string]clock.Millis{},
	}
}

// Joined takes note of a member first seen at now.
func (g *Gauge) Joined(m table.Member, now clock.Millis) {
	i := m.Incarnation()
	g.members[i] = &member{service: m.Service(), instance: m.Instance(), reportedAt: now, places: map[load.Place]bool{}}
	g.joined[i] = now
	g.hotKeys[i] = map[string]load.Heat{}
}

// Left forgets a member.
func (g *Gauge) Left(i table.Incarnation) {
	delete(g.members, i)
	delete(g.joined, i)
	delete(g.hotKeys, i)
	delete(g.paces, i)
	delete(g.cellsReportedAt, i)
}

// Knows reports whether the member was seen.
func (g *Gauge) Knows(i table.Incarnation) bool {
	_, ok := g.members[i]
	return ok
}

// Held takes note of the holding of a shard at now.
func (g *Gauge) Held(p load.Place, h table.Holding, now clock.Millis) {
	switch h := h.(type) {
	case table.Vacant, table.Moving:
	case table.Owned:
		g.ownerChanged(p, h.Owner(), now)
	}
}

func (g *Gauge) ownerChanged(p load.Place, i table.Incarnation, now clock.Millis) {
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

// Placed takes note of a key that left the shard base for a shard of its own.
// The load of the key goes with it.
func (g *Gauge) Placed(key string, base, alone load.Place) {
	g.overrides[serviceKey{service: base.Service(), key: key}] = alone
	g.shiftLoad(base, alone, g.hotKeys[g.owners[base].incarnation][key].Rate())
}

// Returned takes note of a key that went back from its own shard to base.
func (g *Gauge) Returned(key string, base load.Place) {
	n := serviceKey{service: base.Service(), key: key}
	alone, ok := g.overrides[n]
	if !ok {
		return
	}
	g.shiftLoad(alone, base, g.trends[alone].Requests())
	if m, ok := g.members[g.owners[alone].incarnation]; ok {
		delete(m.places, alone)
	}
	delete(g.owners, alone)
	delete(g.trends, alone)
	delete(g.overrides, n)
}

// shiftLoad moves requests per second from one shard to another. A key that got hot
// just now may have more than the smoothed rate of its hash range.
func (g *Gauge) shiftLoad(from, to load.Place, rate float64) {
	a, b := g.trends[from], g.trends[to]
	if rate <= 0 || a.Requests() <= 0 {
		return
	}
	cost := a.Work() / a.Requests()
	left := max(0, a.Requests()-rate)
	g.trends[from] = a.WithLoad(left, cost*left)
	g.trends[to] = b.WithLoad(b.Requests()+rate, b.Work()+cost*rate)
}

// View returns the picture at this instant. It is void after the next command.
func (g *Gauge) View() load.View {
	return load.NewView(load.WithBegan(g.startedAt, g.loadOnsets), load.WithJoined(g.joined), load.WithTrends(g.trends), load.WithKeys(g.hotKeys),
		load.WithCellRates(g.cellRates, g.spanMovedAt), load.WithPaces(g.paces))
}

// Moved returns when a shard last changed its owner, 0 if it was not seen to.
func (g *Gauge) Moved(p load.Place) clock.Millis { return g.trends[p].Moved() }
