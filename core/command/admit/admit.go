// Package admit limits the concurrency of one target. A Limiter has a fixed number of
// slots and a short queue in front of them; a request that it rejects has not been
// sent to the target, so it certainly did not run.
//
// The queue is FIFO as long as it drains from time to time. When it has not been empty
// for Interval, the newest requests go first, since their callers are the most likely
// to be still waiting for the response, and the oldest make room for new ones (adaptive
// LIFO with the standing-queue test of CoDel).
package admit

import (
	"sync"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

const (
	// Interval is how long the queue may stay non-empty before the newest requests go first.
	Interval = 100 * clock.Millisecond
	// InitialServiceTime is the assumed service time before the first measurement.
	InitialServiceTime = 5 * clock.Millisecond
	// smoothing is the divisor of the moving averages: the latest service time weighs 1/smoothing.
	smoothing = 8
)

// Limits bounds the concurrency, the queue length and the queueing time of one target.
type Limits struct {
	slots int
	queue int
	wait  clock.Millis
}

// NewLimits returns limits of slots concurrent requests and queue waiting ones. wait is
// the longest queueing time that a new request may expect. A queue of 0 rejects
// every request that finds no free slot.
func NewLimits(slots, queue int, wait clock.Millis) Limits {
	return Limits{slots: slots, queue: queue, wait: wait}
}

// Limiter is the concurrency limiter of one target. It is safe for concurrent use.
type Limiter struct {
	mu                sync.Mutex
	limits            Limits
	inFlight          int
	waiting           []*Ticket
	nonEmptySince     clock.Millis // start of the period in which the queue was never empty
	meanServiceTime   clock.Millis // moving average in 1/1000 ms
	order             Order
	topPriorityTurns  int                     // turns of the highest priority since the last one of a lower priority
	promotedTurns     int                     // turns of promoted requests since the last one of another while both were waiting
	classServiceTimes map[string]clock.Millis // moving averages by class in 1/1000 ms
	reserve           reserve
}

// New returns a limiter that starts with the limits; each call that submits a request updates them.
func New(l Limits, opts ...Option) *Limiter {
	lm := &Limiter{limits: l, meanServiceTime: InitialServiceTime * 1000, order: Adaptive{}, classServiceTimes: map[string]clock.Millis{}}
	for _, o := range opts {
		o(lm)
	}
	return lm
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithOrder sets the queue order; the default is Adaptive.
func WithOrder(o Order) Option { return func(lm *Limiter) { lm.order = o } }

// SubmitDefault requests a slot for a request without a priority or class, which may
// wait as long as the limits say. The decision is on the ticket's channel already when
// a slot is free or the request cannot be served in time.
func (lm *Limiter) SubmitDefault(now, deadline clock.Millis, l Limits) *Ticket {
	return lm.Submit(now, NewRequest(deadline, l.wait), l)
}

// Submit requests a slot at now under the limits, and returns without waiting. The decision
// arrives on the ticket's channel.
func (lm *Limiter) Submit(now clock.Millis, r Request, l Limits) *Ticket {
	t := &Ticket{request: r, arrived: now, ready: make(chan Decision, 1)}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.limits = l
	lm.shedLate(now)
	lm.fill(now)
	if t.request.firm {
		lm.reserve.observe(now)
	}
	if lm.hasSlot(t.request.firm, now) {
		lm.admit(t)
		return t
	}
	if !lm.canServeInTime(now, t) {
		t.ready <- lm.refusal()
		return t
	}
	lm.enqueue(t, now)
	return t
}

// canServeInTime reports whether a new request is expected to wait no longer than allowed
// and to finish before its deadline.
func (lm *Limiter) canServeInTime(now clock.Millis, t *Ticket) bool {
	if lm.limits.queue <= 0 {
		return false
	}
	ahead := clock.Millis(0)
	for _, w := range lm.waiting {
		if lm.before(w, t, now) {
			ahead += lm.serviceTime(w.request.class)
		}
	}
	slots := clock.Millis(max(1, lm.limits.slots))
	wait := (lm.meanServiceTime + ahead) / slots / 1000
	counted := wait
	if lm.isCostAware() {
		counted = ahead / slots / 1000
	}
	done := now + wait + lm.serviceTime(t.request.class)/1000
	return counted <= lm.maxPredictedWait(t, now) && done < t.request.deadline && !lm.shouldShed(t, done, now)
}

func (lm *Limiter) enqueue(t *Ticket, now clock.Millis) {
	if len(lm.waiting) >= lm.limits.queue {
		i := lm.evictionIndex()
		if lm.before(lm.waiting[i], t, now) {
			t.ready <- lm.refusal()
			return
		}
		lm.waiting[i].ready <- lm.refusal()
		lm.waiting = append(lm.waiting[:i], lm.waiting[i+1:]...)
	}
	if len(lm.waiting) == 0 {
		lm.nonEmptySince = now
	}
	lm.waiting = append(lm.waiting, t)
}

// evictionIndex returns the index of the oldest request of the lowest priority.
func (lm *Limiter) evictionIndex() int {
	i := 0
	for k, t := range lm.waiting {
		if t.request.priority > lm.waiting[i].request.priority {
			i = k
		}
	}
	return i
}

// MeanServiceTime returns the moving average of the service time in milliseconds, over all classes.
func (lm *Limiter) MeanServiceTime() float64 {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return float64(lm.meanServiceTime) / 1000
}

// ClassServiceTime returns the moving average of the service time of a class in milliseconds, or
// that of all requests if the class is unknown.
func (lm *Limiter) ClassServiceTime(class string) clock.Millis {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return lm.serviceTime(class) / 1000
}

// MaxQueueTime returns how long a request of a class may be queued from now on and still be done by
// the deadline. It counts the service time of the class: on a target of long requests, short ones
// can wait longer than those.
func (lm *Limiter) MaxQueueTime(class string, now, deadline clock.Millis) clock.Millis {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return max(0, deadline-now-lm.serviceTime(class)/1000)
}

// Release returns a slot of a request without a class that was held for the given time.
func (lm *Limiter) Release(now, held clock.Millis) { lm.ReleaseClass("", now, held) }

// ReleaseClass returns a slot and records the service time for the class. Once maxClasses classes
// are known, new ones count only towards the overall average.
func (lm *Limiter) ReleaseClass(class string, now, held clock.Millis) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if _, known := lm.classServiceTimes[class]; class != "" && (known || len(lm.classServiceTimes) < maxClasses) {
		mean := lm.serviceTime(class)
		lm.classServiceTimes[class] = mean + (held*1000-mean)/smoothing
	}
	lm.inFlight--
	lm.meanServiceTime += (held*1000 - lm.meanServiceTime) / smoothing
	lm.shedLate(now)
	lm.fill(now)
}

// ReleaseUnused returns a slot that was not used, so no service time is recorded.
func (lm *Limiter) ReleaseUnused(now clock.Millis) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.inFlight--
	lm.fill(now)
}

// Cancel removes a request from the queue. It reports true if the request has been
// admitted in the meantime and holds a slot that the caller must give back with
// ReleaseUnused.
func (lm *Limiter) Cancel(t *Ticket) bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	for i, w := range lm.waiting {
		if w == t {
			lm.waiting = append(lm.waiting[:i], lm.waiting[i+1:]...)
			return false
		}
	}
	select {
	case d := <-t.ready:
		_, ok := d.(Admitted)
		return ok
	default:
		return false
	}
}

// fill admits waiting requests to free slots and rejects those that have waited too long
// or can no longer meet their deadline.
func (lm *Limiter) fill(now clock.Millis) {
	for len(lm.waiting) > 0 && lm.inFlight < lm.limits.slots {
		only, waiting := lm.onlyFirm(now)
		if only && !waiting {
			return
		}
		t := lm.dequeue(now, only)
		if now-t.arrived > t.request.maxQueueTime || now+lm.serviceTime(t.request.class)/1000 >= t.request.deadline {
			t.ready <- lm.refusal()
			continue
		}
		lm.admit(t)
	}
}

// dequeue removes and returns the request that is next in the queue order, among firm ones only if onlyFirm is set.
func (lm *Limiter) dequeue(now clock.Millis, onlyFirm bool) *Ticket {
	i := lm.nextIndex(now)
	if onlyFirm {
		i = lm.firmIndex(now)
	}
	t := lm.waiting[i]
	lm.waiting = append(lm.waiting[:i], lm.waiting[i+1:]...)
	return t
}

func (lm *Limiter) admit(t *Ticket) {
	lm.inFlight++
	if t.request.firm {
		lm.reserve.running++
	}
	t.ready <- Admitted{}
}

func (lm *Limiter) queueIsStanding(now clock.Millis) bool {
	return len(lm.waiting) > 0 && now-lm.nonEmptySince > Interval
}

func (lm *Limiter) refusal() Refused {
	return Refused{reason: result.Overloaded, retryAfter: max(1, lm.estimatedWait(len(lm.waiting)))}
}

// maxClasses bounds the number of classes with a service time of their own.
const maxClasses = 1024

// serviceTime returns the average service time of a class in 1/1000 ms, or that of all
// requests if the class is unknown.
func (lm *Limiter) serviceTime(class string) clock.Millis {
	if m, ok := lm.classServiceTimes[class]; ok {
		return m
	}
	return lm.meanServiceTime
}

// estimatedWait returns the expected queueing time in milliseconds behind ahead other requests.
func (lm *Limiter) estimatedWait(ahead int) clock.Millis {
	return lm.meanServiceTime * clock.Millis(ahead+1) / clock.Millis(max(1, lm.limits.slots)) / 1000
}

// TargetLoad returns the numbers of running and waiting requests and the mean service time.
func (lm *Limiter) TargetLoad() result.TargetLoad {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return result.NewTargetLoad(lm.inFlight, len(lm.waiting), lm.meanServiceTime/1000)
}

// Waiting returns the queue length.
func (lm *Limiter) Waiting() int {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return len(lm.waiting)
}
