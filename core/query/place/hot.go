package place

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// Hysteresis of keys placed alone.
const (
	// plain is the multiple of the hot share that is no noise in a single report.
	plain = 3
	// coldPart is the part of the hot share below which a key is cold.
	coldPart = 0.5
	// hotter is how many times hotter a key must be to take the room of another.
	hotter = 2
	// evictReports is how many reports of a key it takes to give its room away.
	evictReports = 3
	// recall is how long a leader watches the keys before it calls one cold.
	recall = 15 * clock.Second
)

// placed is a key placed alone.
type placed struct {
	key   string
	alone *shard
	base  *shard
}

// hotKey is a key that may be placed alone.
type hotKey struct {
	key   string
	owner *member
	share float64 // of the requests of the owner
	rate  float64 // requests per second
}

// base returns the hash range of a key.
func (p *planner) base(key string) *shard { return p.shards[table.HashShard(key, p.kind.Shards())] }

// place gives hot keys shards of their own, the hottest first.
func (p *planner) place() {
	room := p.service.HotKeys() - len(p.placed)
	for _, h := range p.hot() {
		if room <= 0 {
			p.evict(h)
			return
		}
		room--
		p.out = append(p.out, logcmd.NewAddOverride(p.service.Name(), h.key))
	}
}

// hot returns the keys above the hot share that are not placed alone, the
// hottest first.
func (p *planner) hot() []hotKey {
	threshold := float64(p.service.HotPercent()) / 100
	alone := map[string]bool{}
	for _, c := range p.placed {
		alone[c.key] = true
	}
	var list []hotKey
	for _, m := range p.members {
		for k, h := range p.view.HotKeys(m.incarnation()) {
			base, owned := p.base(k).holding.(table.Owned)
			share := h.MinRecentShare()
			if h.LastShare() >= plain*threshold {
				share = h.LastShare()
			}
			if !alone[k] && share >= threshold && owned && base.Owner() == m.incarnation() {
				list = append(list, hotKey{key: k, owner: m, share: share, rate: h.Rate()})
			}
		}
	}
	slices.SortFunc(list, func(a, b hotKey) int {
		return cmp.Or(cmp.Compare(b.share, a.share), cmp.Compare(a.key, b.key))
	})
	return list
}

// unplace returns cold keys to their hash range, if both have one owner.
func (p *planner) unplace() {
	threshold := coldPart * float64(p.service.HotPercent()) / 100
	for _, c := range p.placed {
		if p.watched(recall) && p.peak(c, load.KeyHistorySize) < threshold && c.together() {
			p.out = append(p.out, logcmd.NewRemoveOverride(p.service.Name(), c.key))
		}
	}
}

// watched reports whether load is watched for so long.
func (p *planner) watched(span clock.Millis) bool {
	return p.now.Sub(p.view.ObservedSince(p.service.Name())) >= span
}

// peak returns the greatest share of late of a key placed alone. One that was not
// watched for so many reports may have had any.
func (p *planner) peak(c placed, reports int) float64 {
	h, owned := c.alone.holding.(table.Owned)
	if !owned || p.cooling(c.alone) {
		return 1
	}
	heat, known := p.view.HotKeys(h.Owner())[c.key]
	if !known && p.watched(recall) {
		return 0
	}
	if heat.Reports() < reports {
		return 1
	}
	return heat.MaxShare()
}

// together reports whether the key and its hash range have one owner.
func (c placed) together() bool {
	a, owned := c.alone.holding.(table.Owned)
	b, based := c.base.holding.(table.Owned)
	return owned && based && a.Owner() == b.Owner()
}

// evict makes room for a key much hotter than another: that is returned to its
// hash range, or first moved to the owner of it if the room is worth it.
func (p *planner) evict(h hotKey) {
	for _, c := range p.coldest() {
		if h.share < hotter*p.peak(c, evictReports) {
			continue
		}
		if c.together() {
			p.out = append(p.out, logcmd.NewRemoveOverride(p.service.Name(), c.key))
			return
		}
		if p.bringHome(c, h) {
			return
		}
	}
}

// coldest returns the keys placed alone: those that can be returned at once
// first, then by their heat.
func (p *planner) coldest() []placed {
	apart := func(c placed) int {
		if c.together() {
			return 0
		}
		return 1
	}
	return slices.SortedStableFunc(slices.Values(p.placed), func(a, b placed) int {
		return cmp.Or(cmp.Compare(apart(a), apart(b)), cmp.Compare(p.peak(a, evictReports), p.peak(b, evictReports)))
	})
}

// bringHome moves a key placed alone to the owner of its hash range, if the move
// of the hotter key that this allows gains more than both moves cost.
func (p *planner) bringHome(c placed, h hotKey) bool {
	a, owned := c.alone.holding.(table.Owned)
	b, based := c.base.holding.(table.Owned)
	from, here := p.byIncarnation[a.Owner()]
	home, able := p.byIncarnation[b.Owner()]
	if !owned || !based || !here || !able || p.moving >= movesAtOnce || p.cooling(c.alone) {
		return false
	}
	worth := p.gain(h.rate, h.owner, p.least()) + p.gain(c.alone.load, from, home)
	if worth <= 2*p.price(c.alone) {
		return false
	}
	p.moving++
	p.move(c.alone, a, home)
	return true
}
