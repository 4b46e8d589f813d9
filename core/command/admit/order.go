package admit

import (
	"slices"

	"verbenabank/core/clock"
)

// Order says who of the waiting requests goes first: Adaptive or Earliest.
type Order interface{ order() }

// Adaptive lets the oldest request go first, and the newest while the queue stands for long:
// then some are served in time instead of all too late.
type Adaptive struct{}

// CostAware lets requests go by priority, and those of one priority by their worth for the time
// that they hold a slot: calls that others wait for take little, and are worth their turn late
// too. Those of one class go by how soon they are worth most, and those that cannot make that
// instant any more after those that can. Each otherTurn-th turn goes to a lower priority, so that
// none starves. While the queue stands, newcomers must not have to wait for long, and a late request
// with enough others before it is refused at once rather than held.
type CostAware struct{}

func (Adaptive) order()  {}
func (CostAware) order() {}

const (
	// ahead is which part of the slots must be wanted by those before a late request, as 1/n,
	// for it to have no turn soon.
	ahead = 4
	// leastAhead is how many they are at least.
	leastAhead = 3
	// lateWorth is what a late answer is worth, as 1/n of one in time.
	lateWorth = 3
	// standing is the part of their patience that newcomers have once the queue stood for
	// standingAfter milliseconds, as 1/n, and leastStanding that in milliseconds at least: a few
	// that wait keep all slots busy.
	standing      = 4
	standingAfter = 200 * clock.Millisecond
	leastStanding = 50 * clock.Millisecond
)

// otherTurn is how often a lower priority has its turn while a higher one waits.
const otherTurn = 5

// before reports whether a waiting request goes before one that has just arrived.
func (g *Limiter) before(w, t *Ticket, now clock.Millis) bool {
	if w.priority != t.priority {
		return w.priority < t.priority
	}
	switch g.order.(type) {
	case Adaptive:
		return !g.overloadedAt(now)
	case CostAware:
		return !g.less(t, w, now)
	}
	return true
}

// first returns the place of the request that goes next.
func (g *Limiter) first(now clock.Millis) int {
	switch g.order.(type) {
	case Adaptive:
		if g.overloadedAt(now) {
			return len(g.waiting) - 1
		}
		return 0
	case CostAware:
		return g.earliest(now)
	}
	return 0
}

// earliest returns the place of the request of the highest priority, or at its turn of
// another one, that is worth most by the earliest instant.
func (g *Limiter) earliest(now clock.Millis) int {
	top, lower := -1, -1
	for k, t := range g.waiting {
		if top < 0 || g.less(t, g.waiting[top], now) {
			top = k
		}
	}
	for k, t := range g.waiting {
		if t.priority > g.waiting[top].priority && (lower < 0 || g.less(t, g.waiting[lower], now)) {
			lower = k
		}
	}
	if lower < 0 {
		g.turns = 0
		return top
	}
	g.turns++
	if g.turns >= otherTurn {
		g.turns = 0
		return lower
	}
	return top
}

// less reports whether a goes before b.
func (g *Limiter) less(a, b *Ticket, now clock.Millis) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if x, y := g.cost(a, now), g.cost(b, now); x != y {
		return x < y
	}
	if x, y := a.aim-a.arrived, b.aim-b.arrived; x != y {
		return x < y
	}
	return a.aim < b.aim
}

// cost returns the time that a request holds a slot, in 1/1000 ms for the worth of an answer in
// time.
func (g *Limiter) cost(t *Ticket, now clock.Millis) clock.Millis {
	if g.late(t, now) {
		return g.mean(t.class) * lateWorth
	}
	return g.mean(t.class)
}

// late reports whether a request cannot be answered any more while it is worth most.
func (g *Limiter) late(t *Ticket, now clock.Millis) bool { return now+g.mean(t.class)/1000 > t.aim }

// patience returns how long a newcomer may have to wait. Once the queue stands, a longer one serves no
// more requests, and all of them later.
func (g *Limiter) patience(t *Ticket, now clock.Millis) clock.Millis {
	if _, ok := g.order.(CostAware); !ok || len(g.waiting) == 0 || now-g.stood <= standingAfter {
		return t.wait
	}
	return min(t.wait, max(leastStanding, t.wait/standing))
}

// hopeless reports whether a request that would be answered at the instant done is worth little
// by then, while enough others wait that go before it.
func (g *Limiter) hopeless(t *Ticket, done, now clock.Millis) bool {
	if _, ok := g.order.(CostAware); !ok || done <= t.aim || !g.overloadedAt(now) {
		return false
	}
	enough := max(leastAhead, g.limits.slots/ahead)
	for _, w := range g.waiting {
		if w != t && g.less(w, t, now) {
			enough--
		}
	}
	return enough <= 0
}

// giveUp refuses waiting requests that have become late and whose turn is not near.
func (g *Limiter) giveUp(now clock.Millis) {
	var late []*Ticket
	for _, t := range g.waiting {
		if g.hopeless(t, now+g.mean(t.class)/1000, now) {
			late = append(late, t)
		}
	}
	if len(late) == 0 {
		return
	}
	// Only now does the queue change: who is late is judged by all that wait.
	g.waiting = slices.DeleteFunc(g.waiting, func(t *Ticket) bool { return slices.Contains(late, t) })
	for _, t := range late {
		t.ready <- g.overloaded()
	}
}
