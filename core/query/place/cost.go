package place

import (
	"math"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// Gain and cost of a move; durations are in seconds of the whole service.
const (
	// gainHorizon is the time over which the gain of a move is counted.
	gainHorizon = 60.0
	// churnCost is the time of imbalance that weighs as much as one change of owner of all
	// keys.
	churnCost = 20.0
	// moveDowntime is how long a shard has no owner during a move.
	moveDowntime = 0.05
	// dedicatedKeyChurn is the churn of moving a dedicated shard relative to a hash range.
	dedicatedKeyChurn = 0.25
	// formerOwnerBonus multiplies the net gain of returning a shard to the instance that owned
	// it before. It only affects the choice among moves that are worth their cost.
	formerOwnerBonus = 2
)

// Guards against moves caused by noise in the load.
const (
	// minObservation is how long a leader observes the load before it moves anything.
	minObservation = 2500 * clock.Millisecond
	// moveCooldown is how long a shard is not moved again after a change of owner.
	moveCooldown = 10 * clock.Second
	// minTolerance is the difference in relative load that is always tolerated.
	minTolerance = 0.1
	// noiseStdErrors is the number of standard errors that is tolerated as noise.
	noiseStdErrors = 5.0
	// rateWindow is the averaging time of a smoothed rate, in seconds.
	rateWindow = 4.0
)

// moveCandidate is a possible move of one shard.
type moveCandidate struct {
	shard     *shard
	ownership table.Owned
	to        *member
	netGain   float64 // gain less cost
}

// balance moves shards as long as the gain of the best move exceeds its cost.
func (p *planner) balance() {
	if !p.observedFor(minObservation) {
		return
	}
	for p.movesInFlight < maxConcurrentMoves {
		c, ok := p.bestMove()
		if !ok {
			return
		}
		p.movesInFlight++
		from := p.byIncarnation[c.ownership.Owner()]
		from.owned = slices.DeleteFunc(from.owned, func(sh *shard) bool { return sh == c.shard })
		p.move(c.shard, c.ownership, c.to)
	}
}

// bestMove returns the move with the highest net gain to the least loaded member, from the
// most loaded member that has a move worth its cost.
func (p *planner) bestMove() (moveCandidate, bool) {
	sources := slices.SortedFunc(slices.Values(p.members), func(a, b *member) int { return p.compareLoad(b, a) })
	to := sources[len(sources)-1]
	for _, from := range sources {
		if p.relativeLoad(from)-p.relativeLoad(to) <= p.tolerance() {
			break
		}
		if c, ok := p.bestMoveBetween(from, to); ok {
			return c, true
		}
	}
	return moveCandidate{}, false
}

func (p *planner) bestMoveBetween(from, to *member) (moveCandidate, bool) {
	best := moveCandidate{}
	for _, sh := range from.owned {
		h, ok := sh.ownership.(table.Owned)
		if !ok || p.inCooldown(sh) {
			continue
		}
		net := p.gain(sh.load, from, to) - p.moveCost(sh)
		if sh.stats.PreviousOwner() == to.member.Instance() {
			net *= formerOwnerBonus
		}
		if net > best.netGain {
			best = moveCandidate{shard: sh, ownership: h, to: to, netGain: net}
		}
	}
	return best, best.netGain > 0
}

// inCooldown reports whether the shard changed its owner within moveCooldown.
func (p *planner) inCooldown(sh *shard) bool {
	moved := sh.stats.Moved()
	return moved > 0 && p.now.Sub(moved) < moveCooldown
}

// tolerance returns the difference in relative load of two members that may be noise, with
// arrivals modeled as a Poisson process.
func (p *planner) tolerance() float64 {
	count := float64(len(p.members))
	stdError := math.Sqrt(2*p.requestRate/count/rateWindow) / (p.totalLoad / count)
	return max(minTolerance, noiseStdErrors*stdError)
}

// gain returns the weighted reduction in imbalance over the horizon if the given load moves.
func (p *planner) gain(moved float64, from, to *member) float64 {
	before := p.imbalance(from, 0) + p.imbalance(to, 0)
	after := p.imbalance(from, -moved) + p.imbalance(to, moved)
	return p.service.Weights().Imbalance() * gainHorizon * (before - after)
}

// imbalance returns the member's contribution to the squared imbalance with extra load added.
func (p *planner) imbalance(m *member, extra float64) float64 {
	deviation := (m.load+extra)/(m.share*p.totalLoad) - 1
	return m.share * deviation * deviation
}

// moveCost returns the weighted cost of the churn and the downtime of a move.
func (p *planner) moveCost(sh *shard) float64 {
	keys := 1 / float64(p.kind.Shards())
	if sh.number >= table.FirstOverride {
		keys *= dedicatedKeyChurn
	}
	w := p.service.Weights()
	return w.Churn()*keys*churnCost + w.Unavailable()*sh.load/p.totalLoad*moveDowntime
}
