package ranges

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

const (
	// minObservation is how long the load is observed before the first move for rebalancing.
	minObservation = 2 * clock.Second
	// balanceCooldown is the pause after a move within a service before the next rebalancing,
	// so that load reports show its effect.
	balanceCooldown = 600 * clock.Millisecond
	// minMemberAge is how long ago a member must have joined to receive keys by rebalancing.
	minMemberAge = clock.Second
	// minMoveLimit is the lower bound on how many moves of a service may be in flight; with more
	// than twice as many members the limit is half their number.
	minMoveLimit = 3
	// tolerance is the difference in utilization below which two members count as balanced.
	tolerance = 0.12
	// minUtilization is the utilization below which rebalancing moves nothing off a member.
	minUtilization = 0.3
	// moveCost is the reduction in utilization that a move of all keys must bring. A move of
	// fewer keys must bring a proportional part of it.
	moveCost = 3.0
	// maxOvershoot bounds the load that a move takes, as a multiple of the wanted load.
	maxOvershoot = 1.2
)

// minFractions are the lower bounds on the load that a move takes, as fractions of the wanted
// load. They are tried in this order: the later ones serve members whose spans all weigh too
// little for the first.
var minFractions = []float64{0.5, 0.2, 0.05}

// balance moves the fewest keys that balance the busiest and the least utilized member, and
// repeats this with the next pair as long as that helps and the limit of moves allows.
func (p *planner) balance() {
	moved := p.view.SpanMoved(p.service)
	if p.now.Sub(p.view.ObservedSince(p.service)) < minObservation || (moved > 0 && p.now.Sub(moved) < balanceCooldown) {
		return
	}
	for p.movesInFlight < max(minMoveLimit, len(p.members)/2) && p.balanceOnce() {
		p.movesInFlight++
	}
}

// balanceOnce moves keys to the least utilized member from the busiest one that has keys worth
// a move, and reports whether there was such a move.
func (p *planner) balanceOnce() bool {
	to := p.leastUtilized()
	if to == nil {
		return false
	}
	busiest := slices.SortedFunc(slices.Values(p.members), func(a, b *member) int { return cmp.Compare(b.utilization(), a.utilization()) })
	for _, from := range busiest {
		if from == to || from.utilization() < minUtilization || from.utilization()-to.utilization() < tolerance {
			return false
		}
		if p.moveBetween(from, to) {
			return true
		}
	}
	return false
}

// meanUtilization returns the utilization of every member if the load were balanced perfectly.
func (p *planner) meanUtilization() float64 {
	rate, capacity := 0.0, 0.0
	for _, m := range p.members {
		rate += m.rate
		capacity += 1 / m.cost
	}
	return rate / capacity
}

// moveBetween moves keys from one member to another if the gain is worth it, and reports
// whether it does. It prefers a load that brings the receiver no higher than the mean
// utilization; if it finds no such range, it takes one that equalizes the two members.
func (p *planner) moveBetween(from, to *member) bool {
	equalizing := (from.utilization() - to.utilization()) / (from.cost + to.cost)
	r, ok := p.smallestRange(from, min(equalizing, (p.meanUtilization()-to.utilization())/to.cost))
	if !ok {
		r, ok = p.smallestRange(from, equalizing)
	}
	if !ok {
		return false
	}
	after := max(from.utilization()-r.rate*from.cost, to.utilization()+r.rate*to.cost)
	gain := from.utilization() - after
	if gain < tolerance/4 || gain < moveCost*float64(r.last-r.first+1)/float64(p.keyCount) {
		return false
	}
	from.rate -= r.rate
	to.rate += r.rate
	p.moved = append(p.moved, keyRange{first: r.first, last: r.last})
	p.commands = append(p.commands, logcmd.NewMoveSpan(p.service, r.first, r.last, r.epoch, to.member.Incarnation()))
	return true
}

// leastUtilized returns the least utilized member of at least minMemberAge, or nil if there is
// none.
func (p *planner) leastUtilized() *member {
	var found *member
	for _, m := range p.members {
		if p.now.Sub(p.view.Joined(m.member.Incarnation())) < minMemberAge {
			continue
		}
		if found == nil || m.utilization() < found.utilization() {
			found = m
		}
	}
	return found
}

// ownedRange is a range of keys that one member owns at one epoch, and its request rate.
type ownedRange struct {
	first table.Key
	last  table.Key
	epoch table.Epoch
	rate  float64 // requests per second
}

// smallestRange returns the range with the fewest keys of the member whose request rate is about
// the wanted one, or, if no span carries that much, a smaller fraction of it.
func (p *planner) smallestRange(m *member, want float64) (ownedRange, bool) {
	for _, fraction := range minFractions {
		best, found := ownedRange{}, false
		for _, s := range p.table.Spans(p.service) {
			h, ok := s.Ownership().(table.Owned)
			if !ok || h.Owner() != m.member.Incarnation() {
				continue
			}
			if r, ok := p.smallestRangeIn(s, fraction*want, maxOvershoot*want); ok && (!found || r.last-r.first < best.last-best.first) {
				r.epoch = h.Epoch()
				best, found = r, true
			}
		}
		if found {
			return best, true
		}
	}
	return ownedRange{}, false
}

// overlapsMoved reports whether this plan already moves some of the keys from first to last.
func (p *planner) overlapsMoved(first, last table.Key) bool {
	for _, r := range p.moved {
		if r.first <= last && first <= r.last {
			return true
		}
	}
	return false
}

// smallestRangeIn returns the range with the fewest keys within one span whose request rate
// lies between two bounds, found with a sliding window over the cells.
func (p *planner) smallestRangeIn(s table.Span, low, high float64) (ownedRange, bool) {
	best, found := ownedRange{}, false
	start, sum := load.CellOf(s.First()), 0.0
	for c := start; c <= load.CellOf(s.Last()); c++ {
		if p.overlapsMoved(table.Key(c*load.CellKeys), table.Key((c+1)*load.CellKeys-1)) {
			start, sum = c+1, 0
			continue
		}
		sum += p.cellRate(c)
		for sum-p.cellRate(start) >= low && start < c {
			sum -= p.cellRate(start)
			start++
		}
		if sum < low || sum > high {
			continue
		}
		first := max(s.First(), table.Key(start*load.CellKeys))
		last := min(s.Last(), table.Key((c+1)*load.CellKeys-1))
		if !found || last-first < best.last-best.first {
			best, found = ownedRange{first: first, last: last, rate: sum}, true
		}
	}
	return best, found
}
