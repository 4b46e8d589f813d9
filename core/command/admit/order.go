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

// Earliest lets requests go by priority, and those of one priority by their worth for the time
// that they hold a slot: calls that others wait for take little, and are worth their turn late
// too. Those of one class go by how soon they are worth most, and those that cannot make that
// instant any more after those that can. Each otherTurn-th turn goes to a lower priority, so that
// none starves. While the queue stands, newcomers must not have to wait for long, and a late request
// with enough others before it is refused at once rather than held.
type Earliest struct{}

func (Adaptive) order() {}
func (Earliest) order() {}

const (
	// shedSlotDivisor is which part of the slots must be wanted by those before a late request, as 1/n,
	// for it to have no turn soon.
	shedSlotDivisor = 4
	// minShedAhead is how many they are at least.
	minShedAhead = 3
	// lateCostFactor is what a late answer is worth, as 1/n of one in time.
	lateCostFactor = 3
	// standingWaitDivisor is the part of their patience that newcomers have once the queue stood for
	// standingAfter milliseconds, as 1/n, and leastStanding that in milliseconds at least: a few
	// that wait keep all slots busy.
	standingWaitDivisor = 4
	standingThreshold   = 200 * clock.Millisecond
	minStandingWait     = 50 * clock.Millisecond
)

// lowPriorityInterval is how often a lower priority has its turn while a higher one waits.
const lowPriorityInterval = 5

// before reports whether a waiting request goes before one that has just arrived.
func (g *Gate) before(w, t *Ticket, now clock.Millis) bool {
	if w.priority != t.priority {
		return w.priority < t.priority
	}
	switch g.order.(type) {
	case Adaptive:
		return !g.queueIsStanding(now)
	case Earliest:
		return !g.less(t, w, now)
	}
	return true
}

// nextIndex returns the place of the request that goes next.
func (g *Gate) nextIndex(now clock.Millis) int {
	switch g.order.(type) {
	case Adaptive:
		if g.queueIsStanding(now) {
			return len(g.waiting) - 1
		}
		return 0
	case Earliest:
		return g.cheapestIndex(now)
	}
	return 0
}

// cheapestIndex returns the place of the request of the highest priority, or at its turn of
// another one, that is worth most by the earliest instant.
func (g *Gate) cheapestIndex(now clock.Millis) int {
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
		g.topPriorityTurns = 0
		return top
	}
	g.topPriorityTurns++
	if g.topPriorityTurns >= lowPriorityInterval {
		g.topPriorityTurns = 0
		return lower
	}
	return top
}

// less reports whether a goes before b.
func (g *Gate) less(a, b *Ticket, now clock.Millis) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if x, y := g.cost(a, now), g.cost(b, now); x != y {
		return x < y
	}
	if x, y := a.softDeadline-a.arrived, b.softDeadline-b.arrived; x != y {
		return x < y
	}
	return a.softDeadline < b.softDeadline
}

// cost returns the time that a request holds a slot, in 1/1000 ms for the worth of an answer in
// time.
func (g *Gate) cost(t *Ticket, now clock.Millis) clock.Millis {
	if g.missesSoftDeadline(t, now) {
		return g.serviceTime(t.class) * lateCostFactor
	}
	return g.serviceTime(t.class)
}

// missesSoftDeadline reports whether a request cannot be answered any more while it is worth most.
func (g *Gate) missesSoftDeadline(t *Ticket, now clock.Millis) bool {
	return now+g.serviceTime(t.class)/1000 > t.softDeadline
}

// maxPredictedWait returns how long a newcomer may have to wait. Once the queue stands, a longer one serves no
// more requests, and all of them later.
func (g *Gate) maxPredictedWait(t *Ticket, now clock.Millis) clock.Millis {
	if _, ok := g.order.(Earliest); !ok || len(g.waiting) == 0 || now-g.nonEmptySince <= standingThreshold {
		return t.maxPredictedWait
	}
	return min(t.maxPredictedWait, max(minStandingWait, t.maxPredictedWait/standingWaitDivisor))
}

// shouldShed reports whether a request that would be answered at the instant done is worth little
// by then, while enough others wait that go before it.
func (g *Gate) shouldShed(t *Ticket, done, now clock.Millis) bool {
	if _, ok := g.order.(Earliest); !ok || done <= t.softDeadline || !g.queueIsStanding(now) {
		return false
	}
	enough := max(minShedAhead, g.limits.slots/shedSlotDivisor)
	for _, w := range g.waiting {
		if w != t && g.less(w, t, now) {
			enough--
		}
	}
	return enough <= 0
}

// shedLate refuses waiting requests that have become late and whose turn is not near.
func (g *Gate) shedLate(now clock.Millis) {
	var late []*Ticket
	for _, t := range g.waiting {
		if g.shouldShed(t, now+g.serviceTime(t.class)/1000, now) {
			late = append(late, t)
		}
	}
	if len(late) == 0 {
		return
	}
	// Only now does the queue change: who is late is judged by all that wait.
	g.waiting = slices.DeleteFunc(g.waiting, func(t *Ticket) bool { return slices.Contains(late, t) })
	for _, t := range late {
		t.ready <- g.refusal()
	}
}
