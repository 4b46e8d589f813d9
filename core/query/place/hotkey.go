package place

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// Hysteresis for giving a key a dedicated shard and taking it back.
const (
	// spikeFactor is the multiple of the hot threshold at which a single report makes a key
	// hot; below it two reports must agree, since one may be noise.
	spikeFactor = 3
	// coldFraction is the fraction of the hot threshold below which a key is cold.
	coldFraction = 0.5
	// evictionFactor is how many times hotter a key must be to evict another from its
	// dedicated shard.
	evictionFactor = 2
	// evictionReports is how many reports of a key are needed before it can be evicted.
	evictionReports = 3
	// coldObservation is how long a leader observes the load before it treats a key as cold.
	coldObservation = 15 * clock.Second
)

// dedicatedKey is a key with a shard of its own, and the shard of its hash range.
type dedicatedKey struct {
	key       string
	dedicated *shard
	hashRange *shard
}

// hotKey is a candidate for a dedicated shard.
type hotKey struct {
	key   string
	owner *member
	share float64 // fraction of the owner's requests
	rate  float64 // requests per second
}

// hashRangeOf returns the shard of the hash range that contains the key.
func (p *planner) hashRangeOf(key string) *shard {
	return p.shards[table.HashShard(key, p.kind.Shards())]
}

// isolateHotKeys gives hot keys dedicated shards, the hottest first. When the service has no
// free ones left, it makes room for the hottest remaining key.
func (p *planner) isolateHotKeys() {
	free := p.service.HotKeys() - len(p.dedicated)
	for _, h := range p.hotKeys() {
		if free <= 0 {
			p.evictFor(h)
			return
		}
		free--
		p.commands = append(p.commands, logcmd.NewAddOverride(p.service.Name(), h.key))
	}
}

// hotKeys returns the keys above the hot threshold that have no dedicated shard, the
// hottest first.
func (p *planner) hotKeys() []hotKey {
	threshold := float64(p.service.HotPercent()) / 100
	isolated := map[string]bool{}
	for _, c := range p.dedicated {
		isolated[c.key] = true
	}
	var list []hotKey
	for _, m := range p.members {
		for k, h := range p.view.HotKeys(m.incarnation()) {
			hashRange, owned := p.hashRangeOf(k).ownership.(table.Owned)
			share := h.MinRecentShare()
			if h.LastShare() >= spikeFactor*threshold {
				share = h.LastShare()
			}
			if !isolated[k] && share >= threshold && owned && hashRange.Owner() == m.incarnation() {
				list = append(list, hotKey{key: k, owner: m, share: share, rate: h.Rate()})
			}
		}
	}
	slices.SortFunc(list, func(a, b hotKey) int {
		return cmp.Or(cmp.Compare(b.share, a.share), cmp.Compare(a.key, b.key))
	})
	return list
}

// returnColdKeys returns cold keys to their hash range if both shards have the same owner.
func (p *planner) returnColdKeys() {
	threshold := coldFraction * float64(p.service.HotPercent()) / 100
	for _, c := range p.dedicated {
		if p.observedFor(coldObservation) && p.peakShare(c, load.KeyHistorySize) < threshold && c.colocated() {
			p.commands = append(p.commands, logcmd.NewRemoveOverride(p.service.Name(), c.key))
		}
	}
}

// observedFor reports whether the leader has observed the service's load for at least the duration.
func (p *planner) observedFor(duration clock.Millis) bool {
	return p.now.Sub(p.view.ObservedSince(p.service.Name())) >= duration
}

// peakShare returns the highest share of its owner's requests that a key with a dedicated
// shard had in the last ten reports. It returns 1, the upper bound, while the shard has no
// settled owner or fewer than the given number of reports exist, and 0 if the owner still does
// not list the key after coldObservation.
func (p *planner) peakShare(c dedicatedKey, reports int) float64 {
	h, owned := c.dedicated.ownership.(table.Owned)
	if !owned || p.inCooldown(c.dedicated) {
		return 1
	}
	history, known := p.view.HotKeys(h.Owner())[c.key]
	if !known && p.observedFor(coldObservation) {
		return 0
	}
	if history.Reports() < reports {
		return 1
	}
	return history.MaxShare()
}

// colocated reports whether the dedicated shard and the hash range have the same owner.
func (c dedicatedKey) colocated() bool {
	a, owned := c.dedicated.ownership.(table.Owned)
	b, rangeOwned := c.hashRange.ownership.(table.Owned)
	return owned && rangeOwned && a.Owner() == b.Owner()
}

// evictFor makes room for a key that is much hotter than one with a dedicated shard. The
// colder key returns to its hash range; if that has another owner, the dedicated shard is
// first moved there, provided that the gain is worth it.
func (p *planner) evictFor(h hotKey) {
	for _, c := range p.evictionCandidates() {
		if h.share < evictionFactor*p.peakShare(c, evictionReports) {
			continue
		}
		if c.colocated() {
			p.commands = append(p.commands, logcmd.NewRemoveOverride(p.service.Name(), c.key))
			return
		}
		if p.colocate(c, h) {
			return
		}
	}
}

// evictionCandidates returns the keys with dedicated shards in order of eviction: first those
// that can be returned at once, then by ascending peak share.
func (p *planner) evictionCandidates() []dedicatedKey {
	rank := func(c dedicatedKey) int {
		if c.colocated() {
			return 0
		}
		return 1
	}
	return slices.SortedStableFunc(slices.Values(p.dedicated), func(a, b dedicatedKey) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(p.peakShare(a, evictionReports), p.peakShare(b, evictionReports)))
	})
}

// colocate moves a dedicated shard to the owner of the key's hash range if the move of the
// hotter key that this allows gains more than both moves cost.
func (p *planner) colocate(c dedicatedKey, h hotKey) bool {
	a, owned := c.dedicated.ownership.(table.Owned)
	b, rangeOwned := c.hashRange.ownership.(table.Owned)
	from, fromEligible := p.byIncarnation[a.Owner()]
	to, toEligible := p.byIncarnation[b.Owner()]
	if !owned || !rangeOwned || !fromEligible || !toEligible || p.movesInFlight >= maxConcurrentMoves || p.inCooldown(c.dedicated) {
		return false
	}
	gain := p.gain(h.rate, h.owner, p.leastLoaded()) + p.gain(c.dedicated.load, from, to)
	if gain <= 2*p.moveCost(c.dedicated) {
		return false
	}
	p.movesInFlight++
	p.move(c.dedicated, a, to)
	return true
}
