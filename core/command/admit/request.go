package admit

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

// Request describes a request to the limiter: its deadlines, priority and class.
type Request struct {
	deadline         clock.Millis
	maxPredictedWait clock.Millis
	maxQueueTime     clock.Millis
	priority         int
	softDeadline     clock.Millis
	class            string
	firm             bool
	patience         clock.Millis
}

// NewRequest returns a request that must be answered by the deadline, an instant, and that is
// rejected when its expected or actual queueing time exceeds wait, in milliseconds.
func NewRequest(deadline, wait clock.Millis) Request {
	return Request{deadline: deadline, maxPredictedWait: wait, maxQueueTime: wait}
}

// WithPriority sets the priority (0 is the highest), the soft deadline, an instant after which the
// response is worth less, and the longest actual time in the queue in milliseconds.
func (r Request) WithPriority(priority int, softDeadline, maxQueueTime clock.Millis) Request {
	r.priority, r.softDeadline, r.maxQueueTime = priority, softDeadline, maxQueueTime
	return r
}

// WithClass sets the class, whose requests have similar service times.
func (r Request) WithClass(name string) Request {
	r.class = name
	return r
}

// Firm exempts the request from the rules of a standing queue: it may expect its whole wait, and is not rejected for being
// late. It goes before others of its priority, and before all once it has waited for patience. It is for requests whose
// number in the queue is bounded elsewhere, such as the calls of running requests.
func (r Request) Firm(patience clock.Millis) Request {
	r.firm, r.patience = true, patience
	return r
}

// Decision is the outcome of an admission request: Admitted or Refused.
type Decision interface{ decision() }

// Admitted means that the request holds a slot until Release, ReleaseClass or ReleaseUnused.
type Admitted struct{}

// Refused means that the request got no slot and must not be sent to the target.
type Refused struct {
	reason     result.Reason
	retryAfter clock.Millis
}

// Reason returns the reason that is reported to the caller.
func (r Refused) Reason() result.Reason { return r.reason }

// RetryAfter returns the estimated time in milliseconds after which a retry may succeed.
func (r Refused) RetryAfter() clock.Millis { return r.retryAfter }

func (Admitted) decision() {}
func (Refused) decision()  {}

// Ticket tracks one request from its arrival to the decision.
type Ticket struct {
	request Request
	arrived clock.Millis
	ready   chan Decision
}

// Ready returns a buffered channel that receives exactly one decision, unless the
// request is cancelled first.
func (t *Ticket) Ready() <-chan Decision { return t.ready }
