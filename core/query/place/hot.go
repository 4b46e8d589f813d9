package place

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/order"
	"verbenabank/core/state/table"
)

// Hysteresis of keys placed alone.
const (
	// coldPart is the part of the hot share below which a key is cold.
	coldPart = 0.5
	// hotter is how many times hotter a key must be to take the room of another.
	hotter = 2
	// evictReports is how many reports of a key it takes to give its room away.
	evictReports = 3
	// recall is how long a leader watches the keys before it calls one cold.
	recall = 15 * clock.Second
)

// hotKey is a key that may be placed alone.
type hotKey struct {
	key   string
	owner *member
	heat  load.Heat
}

// place gives hot keys shards of their own, the hottest first.
func (p *planner) place() {
	room := p.service.HotKeys() - len(p.overrides)
	for _, h := range p.hot() {
		if room <= 0 {
			p.evict(h)
			return
		}
		room--
		p.out = append(p.out, order.NewPlace(p.service.Name(), h.key))
	}
}

// hot returns the keys above the hot share that are not placed alone, the
// hottest first.
func (p *planner) hot() []hotKey {
	threshold := float64(p.service.HotPercent()) / 100
	alone := map[string]bool{}
	for _, o := range p.overrides {
		alone[o.Key()] = true
	}
	var list []hotKey
	for _, m := range p.members {
		for k, h := range p.view.Keys(m.incarnation()) {
			base, owned := p.base(k)
			if !alone[k] && h.Low() >= threshold && owned && base.Owner() == m.incarnation() {
				list = append(list, hotKey{key: k, owner: m, heat: h})
			}
		}
	}
	slices.SortFunc(list, func(a, b hotKey) int {
		return cmp.Or(cmp.Compare(b.heat.Low(), a.heat.Low()), cmp.Compare(a.key, b.key))
	})
	return list
}

// base returns the holding of a key's hash range, and whether it is owned.
func (p *planner) base(key string) (table.Owned, bool) {
	h, ok := p.holding(table.HashShard(key, p.kind.Shards())).(table.Owned)
	return h, ok
}

// unplace returns cold keys to their hash range, if both have one owner.
func (p *planner) unplace() {
	threshold := coldPart * float64(p.service.HotPercent()) / 100
	for _, o := range p.overrides {
		if p.peak(o, load.HeatReports) < threshold && p.together(o) {
			p.out = append(p.out, order.NewUnplace(p.service.Name(), o.Key()))
		}
	}
}

// peak returns the greatest share of late of a key placed alone. One that was not
// watched for so many reports may have had any.
func (p *planner) peak(o table.Override, reports int) float64 {
	h, ok := p.holding(o.Shard()).(table.Owned)
	if !ok || p.now.Sub(p.view.Began()) < recall && reports == load.HeatReports {
		return 1
	}
	heat, known := p.view.Keys(h.Owner())[o.Key()]
	if !known && p.now.Sub(p.view.Began()) >= recall && !p.cooling(o.Shard()) {
		return 0
	}
	if heat.Reports() < reports {
		return 1
	}
	return heat.High()
}

// together reports whether a key placed alone and its hash range have one owner.
func (p *planner) together(o table.Override) bool {
	a, owned := p.holding(o.Shard()).(table.Owned)
	b, based := p.base(o.Key())
	return owned && based && a.Owner() == b.Owner()
}

// evict makes room for a key much hotter than another: that is returned to its
// hash range, or first moved to the owner of it if the room is worth it.
func (p *planner) evict(h hotKey) {
	for _, o := range p.coldest() {
		if h.heat.Low() < hotter*p.peak(o, evictReports) {
			continue
		}
		if p.together(o) {
			p.out = append(p.out, order.NewUnplace(p.service.Name(), o.Key()))
			return
		}
		if p.bringHome(o, h) {
			return
		}
	}
}

// coldest returns the keys placed alone: those that can be returned at once
// first, then by their heat.
func (p *planner) coldest() []table.Override {
	apart := func(o table.Override) int {
		if p.together(o) {
			return 0
		}
		return 1
	}
	return slices.SortedStableFunc(slices.Values(p.overrides), func(a, b table.Override) int {
		return cmp.Or(cmp.Compare(apart(a), apart(b)), cmp.Compare(p.peak(a, evictReports), p.peak(b, evictReports)))
	})
}

// bringHome moves a key placed alone to the owner of its hash range, if the move
// of the hotter key that this allows gains more than both moves cost.
func (p *planner) bringHome(o table.Override, h hotKey) bool {
	a, owned := p.holding(o.Shard()).(table.Owned)
	b, based := p.base(o.Key())
	from, here := p.byIncarnation[a.Owner()]
	home, able := p.byIncarnation[b.Owner()]
	if !owned || !based || !here || !able || p.moving >= movesAtOnce || p.cooling(o.Shard()) {
		return false
	}
	worth := p.gainOf(h.heat.Rate(), h.owner, p.least()) + p.gain(o.Shard(), from, home)
	if worth <= 2*p.price(o.Shard()) {
		return false
	}
	p.moving++
	p.move(o.Shard(), a, home)
	return true
}
