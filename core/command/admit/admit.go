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
	// FirstService is the time of service that is assumed before any was seen.
	FirstService = 5 * clock.Millisecond
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

// Decision is what became of a waiting request: Admitted or Refused.
type Decision interface{ grant() }

// Admitted requests hold a slot until Leave.
type Admitted struct{}

// Refused requests did not get a slot.
type Refused struct {
	reason result.Reason
	after  clock.Millis
}

// Reason returns why.
func (r Refused) Reason() result.Reason { return r.reason }

// RetryAfter returns when another try may be of use.
func (r Refused) RetryAfter() clock.Millis { return r.after }

func (Admitted) grant() {}
func (Refused) grant()  {}

// Ticket is the place of one request.
type Ticket struct {
	arrived  clock.Millis
	deadline clock.Millis
	wait     clock.Millis
	stay     clock.Millis
	priority int
	aim      clock.Millis
	class    string
	ready    chan Decision
}

// Ready returns the channel that gets the one grant.
func (t *Ticket) Ready() <-chan Decision { return t.ready }

// Limiter admits requests. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	limits  Limits
	busy    int
	waiting []*Ticket
	stood   clock.Millis // since when the queue was never empty
	service clock.Millis // mean time of service in 1/1000 ms
	order   Order
	turns   int                     // of the highest priority since another one had its turn
	classes map[string]clock.Millis // mean time of service of each class in 1/1000 ms
}

// New returns a gate with the limits.
func New(l Limits, opts ...Option) *Limiter {
	g := &Limiter{limits: l, service: FirstService * 1000, order: Adaptive{}, classes: map[string]clock.Millis{}}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Option sets one property of a Gate.
type Option func(*Limiter)

// WithOrder sets who goes first.
func WithOrder(o Order) Option { return func(g *Limiter) { g.order = o } }

// Arrive asks for a slot at now, for a request with a deadline. The grant comes
// on the ticket's channel, at once if there is a slot or no hope.
func (g *Limiter) Arrive(now, deadline clock.Millis, l Limits) *Ticket {
	return g.Submit(now, NewRequest(deadline, l.wait), l)
}

// Request is what an arriving request asks for.
type Request struct {
	deadline clock.Millis
	wait     clock.Millis
	stay     clock.Millis
	priority int
	aim      clock.Millis
	class    string
}

// NewRequest returns the wish of a request to be done by the deadline, an instant, and to wait
// no longer than a span.
func NewRequest(deadline, wait clock.Millis) Request {
	return Request{deadline: deadline, wait: wait, stay: wait}
}

// WithPriority returns the wish of a request of a priority (0 goes first) that is worth most by
// the instant aim. Once it is let in, it may wait for the span stay.
func (w Request) WithPriority(priority int, aim, stay clock.Millis) Request {
	w.priority, w.aim, w.stay = priority, aim, stay
	return w
}

// WithClass returns the wish of a request that takes about as long as others of its class.
func (w Request) WithClass(name string) Request {
	w.class = name
	return w
}

// Submit is Arrive for a request with a priority and a patience of its own.
func (g *Limiter) Submit(now clock.Millis, w Request, l Limits) *Ticket {
	t := &Ticket{arrived: now, deadline: w.deadline, wait: w.wait, stay: w.stay, priority: w.priority, aim: w.aim, class: w.class,
		ready: make(chan Decision, 1)}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = l
	g.giveUp(now)
	g.fill(now)
	if g.busy < g.limits.slots {
		g.admit(t)
		return t
	}
	if !g.hope(now, t) {
		t.ready <- g.overloaded()
		return t
	}
	g.enqueue(t, now)
	return t
}

// hope reports whether a newcomer can be served in time.
func (g *Limiter) hope(now clock.Millis, t *Ticket) bool {
	if g.limits.queue <= 0 {
		return false
	}
	work := g.service
	for _, w := range g.waiting {
		if g.before(w, t, now) {
			work += g.mean(w.class)
		}
	}
	wait := work / clock.Millis(max(1, g.limits.slots)) / 1000
	done := now + wait + g.mean(t.class)/1000
	return wait <= g.patience(t, now) && done < t.deadline && !g.hopeless(t, done, now)
}

func (g *Limiter) enqueue(t *Ticket, now clock.Millis) {
	if len(g.waiting) >= g.limits.queue {
		i := g.last()
		if g.before(g.waiting[i], t, now) {
			t.ready <- g.overloaded()
			return
		}
		g.waiting[i].ready <- g.overloaded()
		g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
	}
	if len(g.waiting) == 0 {
		g.stood = now
	}
	g.waiting = append(g.waiting, t)
}

// last returns the place of the oldest request of the lowest priority.
func (g *Limiter) last() int {
	i := 0
	for k, t := range g.waiting {
		if t.priority > g.waiting[i].priority {
			i = k
		}
	}
	return i
}

// MeanServiceTime returns the mean time of a request in milliseconds.
func (g *Limiter) MeanServiceTime() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.service) / 1000
}

// ClassServiceTime returns the mean time of a request of a class.
func (g *Limiter) ClassServiceTime(class string) clock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mean(class) / 1000
}

// Release gives a slot back that was held for the span held.
func (g *Limiter) Release(now, held clock.Millis) { g.ReleaseClass("", now, held) }

// ReleaseClass is Leave for a request of a class.
func (g *Limiter) ReleaseClass(class string, now, held clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.classes[class]; class != "" && (known || len(g.classes) < mostClasses) {
		mean := g.mean(class)
		g.classes[class] = mean + (held*1000-mean)/smoothing
	}
	g.busy--
	g.service += (held*1000 - g.service) / smoothing
	g.giveUp(now)
	g.fill(now)
}

// ReleaseUnused gives a slot back that was not used.
func (g *Limiter) ReleaseUnused(now clock.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy--
	g.fill(now)
}

// Cancel withdraws a request that waits no more. It reports whether the request
// was admitted meanwhile, so that it holds a slot that the caller must Return.
func (g *Limiter) Cancel(t *Ticket) bool {
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
func (g *Limiter) fill(now clock.Millis) {
	for len(g.waiting) > 0 && g.busy < g.limits.slots {
		t := g.next(now)
		if now-t.arrived > t.stay || now+g.mean(t.class)/1000 >= t.deadline {
			t.ready <- g.overloaded()
			continue
		}
		g.admit(t)
	}
}

// next takes the request whose turn it is.
func (g *Limiter) next(now clock.Millis) *Ticket {
	i := g.first(now)
	t := g.waiting[i]
	g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
	return t
}

func (g *Limiter) admit(t *Ticket) {
	g.busy++
	t.ready <- Admitted{}
}

func (g *Limiter) overloadedAt(now clock.Millis) bool {
	return len(g.waiting) > 0 && now-g.stood > Interval
}

func (g *Limiter) overloaded() Refused {
	return Refused{reason: result.Overloaded, after: max(1, g.estimate(len(g.waiting)))}
}

// mostClasses bounds the classes whose times are known one by one.
const mostClasses = 1024

// mean returns the time of service of a class in 1/1000 ms.
func (g *Limiter) mean(class string) clock.Millis {
	if m, ok := g.classes[class]; ok {
		return m
	}
	return g.service
}

// estimate returns how long a request waits behind ahead others.
func (g *Limiter) estimate(ahead int) clock.Millis {
	return g.service * clock.Millis(ahead+1) / clock.Millis(max(1, g.limits.slots)) / 1000
}

// TargetLoad returns how much there is to do.
func (g *Limiter) TargetLoad() result.TargetLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	return result.NewTargetLoad(g.busy, len(g.waiting), g.service/1000)
}

// Waiting returns how many requests wait.
func (g *Limiter) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}
