package admit

import (
	"slices"

	"verbenabank/core/clock"
)

// Order is the queue order: Adaptive or CostAware.
type Order interface{ order() }

// Adaptive is FIFO, and LIFO once the queue has been non-empty for longer than Interval:
// then some requests are served in time instead of all of them too late.
type Adaptive struct{}

// CostAware orders requests by priority, and within a priority by the service time per value of
// the response: short calls that other requests depend on go before long ones even when they
// are late. Requests of equal cost go by soft deadline; one that can no longer meet it goes
// after those that can, since its cost is multiplied by lateCostFactor. Every
// lowPriorityInterval-th turn goes to a lower priority, which prevents starvation. While the
// queue is standing, the wait that new requests may expect is shortened, and a late request with
// enough work ahead of it is rejected at once instead of being kept waiting. The time until a
// slot becomes free does not count towards the wait: on a target of long requests it alone may
// exceed the latency goal of a short one that would be next.
type CostAware struct{}

func (Adaptive) order()  {}
func (CostAware) order() {}

const (
	// shedSlotDivisor: a late request is rejected if the work ahead of it is that of
	// slots/shedSlotDivisor mean requests.
	shedSlotDivisor = 4
	// minShedAhead is the least work ahead of a late request that gets it rejected, in mean requests.
	minShedAhead = 3
	// lateCostFactor multiplies the cost of a late request: a late response is worth
	// 1/lateCostFactor of a timely one.
	lateCostFactor = 3
	// Once the queue has been non-empty for standingThreshold, the wait that new requests may
	// expect is divided by standingWaitDivisor, but is at least minStandingWait: a few waiting
	// requests are enough to keep all slots busy.
	standingWaitDivisor = 4
	standingThreshold   = 200 * clock.Millisecond
	minStandingWait     = 50 * clock.Millisecond
)

// lowPriorityInterval is the number of turns of which a lower priority gets one while a
// higher one is waiting.
const lowPriorityInterval = 5

// before reports whether the waiting request w goes before the new request t.
func (lm *Limiter) before(w, t *Ticket, now clock.Millis) bool {
	if x, y := rank(w, now), rank(t, now); x != y {
		return x < y
	}
	switch lm.order.(type) {
	case Adaptive:
		return !lm.queueIsStanding(now)
	case CostAware:
		return !lm.less(t, w, now)
	}
	return true
}

// nextIndex returns the index of the request that goes next.
func (lm *Limiter) nextIndex(now clock.Millis) int {
	switch lm.order.(type) {
	case Adaptive:
		if lm.queueIsStanding(now) {
			return len(lm.waiting) - 1
		}
		return 0
	case CostAware:
		return lm.cheapestIndex(now)
	}
	return 0
}

// cheapestIndex returns the index of the request that goes next: the first promoted one, or the first of the others when
// they are due for a turn, so that promoted requests take no turns from the lowest priority alone.
func (lm *Limiter) cheapestIndex(now clock.Millis) int {
	first, others := -1, false
	for k, t := range lm.waiting {
		switch {
		case rank(t, now) != promotedRank:
			others = true
		case first < 0 || lm.less(t, lm.waiting[first], now):
			first = k
		}
	}
	if first < 0 {
		return lm.cheapestOther(now)
	}
	if !others {
		lm.promotedTurns = 0
		return first
	}
	lm.promotedTurns++
	if lm.promotedTurns >= lowPriorityInterval {
		lm.promotedTurns = 0
		return lm.cheapestOther(now)
	}
	return first
}

// cheapestOther returns the index of the first request of the highest priority that is not promoted, or of a lower
// priority when it is due for a turn.
func (lm *Limiter) cheapestOther(now clock.Millis) int {
	top, lower := -1, -1
	for k, t := range lm.waiting {
		if rank(t, now) != promotedRank && (top < 0 || lm.less(t, lm.waiting[top], now)) {
			top = k
		}
	}
	for k, t := range lm.waiting {
		if rank(t, now) > rank(lm.waiting[top], now) && (lower < 0 || lm.less(t, lm.waiting[lower], now)) {
			lower = k
		}
	}
	if lower < 0 {
		lm.topPriorityTurns = 0
		return top
	}
	lm.topPriorityTurns++
	if lm.topPriorityTurns >= lowPriorityInterval {
		lm.topPriorityTurns = 0
		return lower
	}
	return top
}

// promotedRank is before all priorities.
const promotedRank = -1

// rank returns the priority of a request, before all others for a firm one that has waited for its patience.
func rank(t *Ticket, now clock.Millis) int {
	if t.request.firm && now-t.arrived >= t.request.patience {
		return promotedRank
	}
	return t.request.priority
}

// less reports whether a goes before b: by priority, then firm ones first, then cost, then time from arrival to the
// soft deadline, then soft deadline.
func (lm *Limiter) less(a, b *Ticket, now clock.Millis) bool {
	if x, y := rank(a, now), rank(b, now); x != y {
		return x < y
	}
	if a.request.firm != b.request.firm {
		return a.request.firm
	}
	if x, y := lm.cost(a, now), lm.cost(b, now); x != y {
		return x < y
	}
	if x, y := a.request.softDeadline-a.arrived, b.request.softDeadline-b.arrived; x != y {
		return x < y
	}
	return a.request.softDeadline < b.request.softDeadline
}

// cost returns the expected service time in 1/1000 ms, weighted by the lower value of a late
// response.
func (lm *Limiter) cost(t *Ticket, now clock.Millis) clock.Millis {
	if lm.missesSoftDeadline(t, now) {
		return lm.serviceTime(t.request.class) * lateCostFactor
	}
	return lm.serviceTime(t.request.class)
}

// missesSoftDeadline reports whether a request would miss its soft deadline even if it started now.
func (lm *Limiter) missesSoftDeadline(t *Ticket, now clock.Millis) bool {
	return now+lm.serviceTime(t.request.class)/1000 > t.request.softDeadline
}

// maxPredictedWait returns the longest wait that a new request may expect. Once the queue is
// standing, a longer queue serves no more requests and makes all of them later.
func (lm *Limiter) maxPredictedWait(t *Ticket, now clock.Millis) clock.Millis {
	if !lm.isCostAware() || t.request.firm || len(lm.waiting) == 0 || now-lm.nonEmptySince <= standingThreshold {
		return t.request.maxPredictedWait
	}
	return min(t.request.maxPredictedWait, max(minStandingWait, t.request.maxPredictedWait/standingWaitDivisor))
}

// shouldShed reports whether a request that would be answered at the instant done misses its
// soft deadline while enough work is waiting ahead of it.
func (lm *Limiter) shouldShed(t *Ticket, done, now clock.Millis) bool {
	if !lm.isCostAware() || t.request.firm || done <= t.request.softDeadline || !lm.queueIsStanding(now) {
		return false
	}
	ahead := clock.Millis(0)
	for _, w := range lm.waiting {
		if w != t && lm.less(w, t, now) {
			ahead += lm.serviceTime(w.request.class)
		}
	}
	return ahead >= lm.meanServiceTime*clock.Millis(max(minShedAhead, lm.limits.slots/shedSlotDivisor))
}

func (lm *Limiter) isCostAware() bool {
	_, ok := lm.order.(CostAware)
	return ok
}

// shedLate rejects waiting requests that have become late and are not among the next in line.
func (lm *Limiter) shedLate(now clock.Millis) {
	var late []*Ticket
	for _, t := range lm.waiting {
		if lm.shouldShed(t, now+lm.serviceTime(t.request.class)/1000, now) {
			late = append(late, t)
		}
	}
	if len(late) == 0 {
		return
	}
	// The queue changes only after all requests were examined: each is judged against the whole queue.
	lm.waiting = slices.DeleteFunc(lm.waiting, func(t *Ticket) bool { return slices.Contains(late, t) })
	for _, t := range late {
		t.ready <- lm.refusal()
	}
}
