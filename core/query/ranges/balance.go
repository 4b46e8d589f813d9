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
	// watch is how long the load is watched before the first move for balance.
	watch = 2 * clock.Second
	// rest is the pause between two moves for balance of a service, for reports to show
	// what the last one did.
	rest = 600 * clock.Millisecond
	// fresh is how long a member must have been there to take keys for balance.
	fresh = clock.Second
	// movesAtOnce is how many spans of a service may be on their way at least; where members
	// are many it is half of them.
	movesAtOnce = 3
	// band is the difference of busy times up to which two members count as even.
	band = 0.12
	// calm is the busy time up to which no member is relieved.
	calm = 0.3
	// keyPrice is the difference of busy times that a move of all keys must remove.
	keyPrice = 3.0
	// most bounds a moved load, as a part of what evens out both members.
	most = 1.2
)

// least are the parts of what evens out two members that are looked for, one after the other.
var least = []float64{0.5, 0.2, 0.05}

// balance moves the fewest keys that even out the busiest member and the idlest one, and goes
// on with the next two as long as that helps.
func (p *planner) balance() {
	moved := p.view.SpanMoved(p.service)
	if p.now.Sub(p.view.ObservedSince(p.service)) < watch || (moved > 0 && p.now.Sub(moved) < rest) {
		return
	}
	for p.moving < max(movesAtOnce, len(p.members)/2) && p.even() {
		p.moving++
	}
}

// even moves keys from a busy member to the idlest one, and reports whether it does. The
// busiest member that has keys worth a move goes first.
func (p *planner) even() bool {
	to := p.idlest()
	if to == nil {
		return false
	}
	busiest := slices.SortedFunc(slices.Values(p.members), func(a, b *member) int { return cmp.Compare(b.busy(), a.busy()) })
	for _, from := range busiest {
		if from == to || from.busy() < calm || from.busy()-to.busy() < band {
			return false
		}
		if p.shift(from, to) {
			return true
		}
	}
	return false
}

// level returns the busy time of all members if the load were even.
func (p *planner) level() float64 {
	rate, speed := 0.0, 0.0
	for _, m := range p.members {
		rate += m.rate
		speed += 1 / m.cost
	}
	return rate / speed
}

// shift moves keys from one member to another if that is worth it: as many as the other takes
// until it is as busy as all would be, or if there are none so few, as even out the two.
func (p *planner) shift(from, to *member) bool {
	both := (from.busy() - to.busy()) / (from.cost + to.cost)
	w, ok := p.window(from, min(both, (p.level()-to.busy())/to.cost))
	if !ok {
		w, ok = p.window(from, both)
	}
	if !ok {
		return false
	}
	after := max(from.busy()-w.load*from.cost, to.busy()+w.load*to.cost)
	gain := from.busy() - after
	if gain < band/4 || gain < keyPrice*float64(w.last-w.first+1)/float64(p.keys) {
		return false
	}
	from.rate -= w.load
	to.rate += w.load
	p.taken = append(p.taken, run{first: w.first, last: w.last})
	p.out = append(p.out, logcmd.NewMoveSpan(p.service, w.first, w.last, w.epoch, to.member.Incarnation()))
	return true
}

func (p *planner) idlest() *member {
	var found *member
	for _, m := range p.members {
		if p.now.Sub(p.view.Joined(m.member.Incarnation())) < fresh {
			continue
		}
		if found == nil || m.busy() < found.busy() {
			found = m
		}
	}
	return found
}

// window is a run of keys with one epoch.
type window struct {
	first table.Key
	last  table.Key
	epoch table.Epoch
	load  float64
}

// window returns the fewest neighboring keys of the member that weigh about the load, or a
// part of it if no span weighs that much.
func (p *planner) window(m *member, want float64) (window, bool) {
	for _, part := range least {
		best, found := window{}, false
		for _, s := range p.table.Spans(p.service) {
			h, ok := s.Ownership().(table.Owned)
			if !ok || h.Owner() != m.member.Incarnation() {
				continue
			}
			if w, ok := p.within(s, part*want, most*want); ok && (!found || w.last-w.first < best.last-best.first) {
				w.epoch = h.Epoch()
				best, found = w, true
			}
		}
		if found {
			return best, true
		}
	}
	return window{}, false
}

// touched reports whether some of the keys from first to last are moved by this plan already.
func (p *planner) touched(first, last table.Key) bool {
	for _, r := range p.taken {
		if r.first <= last && first <= r.last {
			return true
		}
	}
	return false
}

// within looks for the window in one span, of a load between two bounds.
func (p *planner) within(s table.Span, low, high float64) (window, bool) {
	best, found := window{}, false
	begin, sum := load.CellOf(s.First()), 0.0
	for c := begin; c <= load.CellOf(s.Last()); c++ {
		if p.touched(table.Key(c*load.CellKeys), table.Key((c+1)*load.CellKeys-1)) {
			begin, sum = c+1, 0
			continue
		}
		sum += p.cell(c)
		for sum-p.cell(begin) >= low && begin < c {
			sum -= p.cell(begin)
			begin++
		}
		if sum < low || sum > high {
			continue
		}
		first := max(s.First(), table.Key(begin*load.CellKeys))
		last := min(s.Last(), table.Key((c+1)*load.CellKeys-1))
		if !found || last-first < best.last-best.first {
			best, found = window{first: first, last: last, load: sum}, true
		}
	}
	return best, found
}
