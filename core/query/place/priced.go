package place

import (
	"math"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// Terms of the price of a move, in seconds of the whole service.
const (
	// horizon is how long the gain of a move is counted.
	horizon = 60.0
	// churnSpan is the time of imbalance that weighs as much as one change of
	// the owner of all keys.
	churnSpan = 20.0
	// moveGap is how long a shard has no owner during a move.
	moveGap = 0.05
	// keyChurn is the churn of a key placed alone beside that of a hash range.
	keyChurn = 0.25
	// formerChoice multiplies what a return to the instance before is worth beside
	// other moves that are worth their price.
	formerChoice = 2
)

// Guards against moves for noise.
const (
	// watch is how long a leader watches the load before it moves anything.
	watch = 2500 * clock.Millisecond
	// coolDown is how long a shard stays after a change of owner.
	coolDown = 10 * clock.Second
	// leastBand is the difference of levels that is always left alone.
	leastBand = 0.1
	// noiseBand is the multiple of the standard error that is left alone too.
	noiseBand = 5.0
	// window is the time that a smoothed rate looks back.
	window = 4.0
)

// option is one move that may be made.
type option struct {
	shard   *shard
	holding table.Owned
	to      *member
	net     float64
}

// balance moves shards while the gain of the best move outweighs its price.
func (p *planner) balance() {
	if !p.watched(watch) {
		return
	}
	for p.moving < movesAtOnce {
		o, ok := p.best()
		if !ok {
			return
		}
		p.moving++
		from := p.byIncarnation[o.holding.Owner()]
		from.owned = slices.DeleteFunc(from.owned, func(sh *shard) bool { return sh == o.shard })
		p.move(o.shard, o.holding, o.to)
	}
}

// best returns the most gainful move from the most loaded member that has one to
// the least loaded one.
func (p *planner) best() (option, bool) {
	sources := slices.SortedFunc(slices.Values(p.members), func(a, b *member) int { return p.compare(b, a) })
	to := sources[len(sources)-1]
	for _, from := range sources {
		if p.level(from)-p.level(to) <= p.band() {
			break
		}
		if o, ok := p.bestOf(from, to); ok {
			return o, true
		}
	}
	return option{}, false
}

func (p *planner) bestOf(from, to *member) (option, bool) {
	best := option{}
	for _, sh := range from.owned {
		h, ok := sh.holding.(table.Owned)
		if !ok || p.cooling(sh) {
			continue
		}
		net := p.gain(sh.load, from, to) - p.price(sh)
		if sh.trend.PreviousOwner() == to.member.Instance() {
			net *= formerChoice
		}
		if net > best.net {
			best = option{shard: sh, holding: h, to: to, net: net}
		}
	}
	return best, best.net > 0
}

// cooling reports whether a shard changed its owner just now.
func (p *planner) cooling(sh *shard) bool {
	moved := sh.trend.Moved()
	return moved > 0 && p.now.Sub(moved) < coolDown
}

// band returns the difference of two members' levels that may be noise: arrivals
// are taken as Poisson.
func (p *planner) band() float64 {
	count := float64(len(p.members))
	deviation := math.Sqrt(2*p.requests/count/window) / (p.total / count)
	return max(leastBand, noiseBand*deviation)
}

// gain returns what less imbalance over the horizon is worth, if so much load
// moves.
func (p *planner) gain(w float64, from, to *member) float64 {
	before := p.uneven(from, 0) + p.uneven(to, 0)
	after := p.uneven(from, -w) + p.uneven(to, w)
	return p.service.Weights().Imbalance() * horizon * (before - after)
}

// uneven returns the member's part of the squared imbalance, with more load.
func (p *planner) uneven(m *member, more float64) float64 {
	off := (m.load+more)/(m.share*p.total) - 1
	return m.share * off * off
}

// price returns what the churn and the gap of a move cost.
func (p *planner) price(sh *shard) float64 {
	keys := 1 / float64(p.kind.Shards())
	if sh.number >= table.FirstOverride {
		keys *= keyChurn
	}
	w := p.service.Weights()
	return w.Churn()*keys*churnSpan + w.Unavailable()*sh.load/p.total*moveGap
}
