// Package admit bounds the work of one target: so many slots, and a short queue in
// front of them that turns requests away while they surely did not run.
//
// The queue is first in, first out while it empties now and then. Once it did not
// empty for Interval it serves the newest first, so that the callers who still wait
// for their answer get it, and the oldest make room for newcomers (adaptive LIFO with the
// standing-queue test of CoDel).
package admit

import (
	"sync"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

const (
	// Interval is how long the queue may stand before the newest go first.
	Interval = 100 * clock.Millisecond
	// InitialServiceTime is the time of service that is assumed before any was seen.
	InitialServiceTime = 5 * clock.Millisecond
	// smoothing is the weight of the latest service time in the mean, as 1/n.
	smoothing = 8
)

// Limits are the bounds of one target.
type Limits struct {
	slots int
	queue int
	wait  clock.Millis
}

// NewLimits returns limits of slots that run at once, queue requests that wait, and
// the longest wait.
func NewLimits(slots, queue int, wait clock.Millis) Limits {
	return Limits{slots: slots, queue: queue, wait: wait}
}

// Grant is what became of a waiting request: Admitted or Refused.
type Grant interface{ decision() }

// Admitted requests hold a slot until Leave.
type Admitted struct{}

// Refused requests did not get a slot.
type Refused struct {
	reason     result.Reason
	retryAfter clock.Millis
}

// Reason returns why.
func (r Refused) Reason() result.Reason { return r.reason }

// After returns when another try may be of use.
func (r Refused) After() clock.Millis { return r.retryAfter }

func (Admitted) decision() {}
func (Refused) decision()  {}

// Ticket is the place of one request.
type Ticket struct {
	arrived          clock.Millis
	deadline         clock.Millis
	maxPredictedWait clock.Millis
	maxQueueTime     clock.Millis
	priority         int
	softDeadline     clock.Millis
	class            string
	ready            chan Grant
}

// Ready returns the channel that gets the one grant.
func (t *Ticket) Ready() <-chan Grant { return t.ready }

// Gate admits requests. It is safe for concurrent use.
type Gate struct {
	mu                sync.Mutex
	limits            Limits
	inFlight          int
	waiting           []*Ticket
	nonEmptySince     clock.Millis // since when the queue was never empty
	meanServiceTime   clock.Millis // mean time of service in 1/1000 ms
	order             Order
	topPriorityTurns  int                     // of the highest priority since another one had its turn
	classServiceTimes map[string]clock.Millis // mean time of service of each class in 1/1000 ms
}

// New returns a gate with the limits.
func New(l Limits, opts ...Option) *Gate {
	g := &Gate{limits: l, meanServiceTime: InitialServiceTime * 1000, order: Adaptive{}, classServiceTimes: map[string]clock.Millis{}}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Option sets one property of a Gate.
type Option func(*Gate)

// WithOrder sets who goes first.
func WithOrder(o Order) Option { return func(g *Gate) { g.order = o } }

// SubmitDefault asks for a slot at now, for a request with a deadline. The grant comes
// on the ticket's channel, at once if there is a slot or no hope.
func (g *Gate) SubmitDefault(now, deadline clock.Millis, l Limits) *Ticket {
	return g.Enter(now, NewWant(deadline, l.wait), l)
}

// Want is what an arriving request asks for.
type Want struct {
	deadline         clock.Millis
	maxPredictedWait clock.Millis
	maxQueueTime     clock.Millis
	priority         int
	softDeadline     clock.Millis
	class            string
}

// NewWant returns the wish of a request to be done by the deadline, an instant, and to wait
// no longer than a span.
func NewWant(deadline, wait clock.Millis) Want {
	return Want{deadline: deadline, maxPredictedWait: wait, maxQueueTime: wait}
}

// WithRank returns the wish of a request of a priority (0 goes first) that is worth most by
// the instant aim. Once it is let in, it may wait for the span stay.
func (w Want) WithRank(priority int, aim, stay clock.Millis) Want {
	w.priority, w.softDeadline, w.maxQueueTime = priority, aim, stay
	return w
}

// WithClass returns the wish of a request that takes about as long as others of its class.
func (w Want) WithClass(name string) Want {
	w.class = name
	return w
}

// Enter is Arrive for a request with a priority and a patience of its own.
func (g *Gate) Enter(now clock.Millis, w Want, l Limits) *Ticket {
	t := &Ticket{arrived: now, deadline: w.deadline, maxPredictedWait: w.maxPredictedWait, maxQueueTime: w.maxQueueTime, priority: w.priority, softDeadline: w.softDeadline, class: w.class,
		ready: make(chan Grant, 1)}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = l
	g.shedLate(now)
	g.fill(now)
	if g.inFlight < g.limits.slots {
		g.admit(t)
		return t
	}
	if !g.canServeInTime(now, t) {
		t.ready <- g.refusal()
		return t
	}
	g.enqueue(t, now)
	return t
}

// canServeInTime reports whether a newcomer can be served in time.
func (g *Gate) canServeInTime(now clock.Millis, t *Ticket) bool {
	if g.limits.queue <= 0 {
		return false
	}
	work := g.meanServiceTime
	for _, w := range g.waiting {
		if g.before(w, t, now) {
			work += g.serviceTime(w.class)
		}
	}
	wait := work / clock.Millis(max(1, g.limits.slots)) / 1000
	done := now + wait + g.serviceTime(t.class)/1000
	return wait <= g.maxPredictedWait(t, now) && done < t.deadline && !g.shouldShed(t, done, now)
}

func (g *Gate) enqueue(t *Ticket, now clock.Millis) {
	if len(g.waiting) >= g.limits.queue {
		i := g.evictionIndex()
		if g.before(g.waiting[i], t, now) {
			t.ready <- g.refusal()
			return
		}
		g.waiting[i].ready <- g.refusal()
		g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
	}
	if len(g.waiting) == 0 {
		g.nonEmptySince = now
	}
	g.waiting = append(g.waiting, t)
}

// evictionIndex returns the place of the oldest request of the lowest priority.
func (g *Gate) evictionIndex() int {
	i := 0
	for k, t := range g.waiting {
		if t.priority > g.waiting[i].priority {
			i = k
		}
	}
	return i
}

// Service returns the mean time of a request in milliseconds.
func (g *Gate) Service() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.meanServiceTime) / 1000
}

// ServiceOf returns the mean time of a request of a class.
func (g *Gate) ServiceOf(class string) clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serviceTime(class) / 1000
}

// Leave gives a slot back that was held for the span held.
func (g *Gate) Leave(now, held clock.Millis) { g.LeaveOf("", now, held) }

// LeaveOf is Leave for a request of a class.
func (g *Gate) LeaveOf(class string, now, held clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.classServiceTimes[class]; class != "" && (known || len(g.classServiceTimes) < maxClasses) {
		mean := g.serviceTime(class)
		g.classServiceTimes[class] = mean + (held*1000-mean)/smoothing
	}
	g.inFlight--
	g.meanServiceTime += (held*1000 - g.meanServiceTime) / smoothing
	g.shedLate(now)
	g.fill(now)
}

// Return gives a slot back that was not used.
func (g *Gate) Return(now clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.fill(now)
}

// Cancel withdraws a request that waits no more. It reports whether the request
// was admitted meanwhile, so that it holds a slot that the caller must Return.
func (g *Gate) Cancel(t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, w := range g.waiting {
		if w == t {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return false
		}
	}
	select {
	case o := <-t.ready:
		_, ok := o.(Admitted)
		return ok
	default:
		return false
	}
}

// fill admits waiting requests to free slots and refuses those that came too
// late.
func (g *Gate) fill(now clock.Millis) {
	for len(g.waiting) > 0 && g.inFlight < g.limits.slots {
		t := g.dequeue(now)
		if now-t.arrived > t.maxQueueTime || now+g.serviceTime(t.class)/1000 >= t.deadline {
			t.ready <- g.refusal()
			continue
		}
		g.admit(t)
	}
}

// dequeue takes the request whose turn it is.
func (g *Gate) dequeue(now clock.Millis) *Ticket {
	i := g.nextIndex(now)
	t := g.waiting[i]
	g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
	return t
}

func (g *Gate) admit(t *Ticket) {
	g.inFlight++
	t.ready <- Admitted{}
}

func (g *Gate) queueIsStanding(now clock.Millis) bool {
	return len(g.waiting) > 0 && now-g.nonEmptySince > Interval
}

func (g *Gate) refusal() Refused {
	return Refused{reason: result.Overloaded, retryAfter: max(1, g.estimatedWait(len(g.waiting)))}
}

// maxClasses bounds the classes whose times are known one by one.
const maxClasses = 1024

// serviceTime returns the time of service of a class in 1/1000 ms.
func (g *Gate) serviceTime(class string) clock.Millis {
	if m, ok := g.classServiceTimes[class]; ok {
		return m
	}
	return g.meanServiceTime
}

// estimatedWait returns how long a request waits behind ahead others.
func (g *Gate) estimatedWait(ahead int) clock.Millis {
	return g.meanServiceTime * clock.Millis(ahead+1) / clock.Millis(max(1, g.limits.slots)) / 1000
}

// Crowd returns how much there is to do.
func (g *Gate) Crowd() result.Crowd {
	g.mu.Lock()
	defer g.mu.Unlock()
	return result.NewCrowd(g.inFlight, len(g.waiting), g.meanServiceTime/1000)
}

// Waiting returns how many requests wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}
