// Package result holds the outcomes of a request: answered, refused and surely
// not run, or unknown.
package result

import "verbenabank/core/clock"

// Outcome is how a request ended: Answered, Refused or Unknown.
type Outcome interface{ outcome() }

// Answered requests got the whole answer of their target.
type Answered struct{ status int }

// NewAnswered returns the outcome with the target's HTTP status.
func NewAnswered(status int) Answered { return Answered{status: status} }

// Status returns the target's HTTP status.
func (a Answered) Status() int { return a.status }

// failedStatus is the least HTTP status by which a target says that it failed.
const failedStatus = 500

// Failed reports whether the target answered that it failed.
func (a Answered) Failed() bool { return a.status >= failedStatus }

// Refused requests surely did not run.
type Refused struct {
	reason Reason
	after  clock.Millis
	sent   bool
	crowd  TargetLoad
}

// TargetLoad is how much a target had to do when it was asked.
type TargetLoad struct {
	running int
	waiting int
	mean    clock.Millis
}

// NewTargetLoad returns a target with requests that run and that wait, and the mean time of one.
func NewTargetLoad(running, waiting int, mean clock.Millis) TargetLoad {
	return TargetLoad{running: running, waiting: waiting, mean: mean}
}

// Running returns how many requests ran.
func (c TargetLoad) Running() int { return c.running }

// Waiting returns how many requests waited.
func (c TargetLoad) Waiting() int { return c.waiting }

// MeanTime returns the mean time of a request.
func (c TargetLoad) MeanTime() clock.Millis { return c.mean }

// NewRefused returns the outcome with its reason and how long the caller should
// wait before it tries again, 0 if trying again is of no use.
func NewRefused(reason Reason, after clock.Millis) Refused {
	return Refused{reason: reason, after: after}
}

// Reason returns why the request was refused.
func (r Refused) Reason() Reason { return r.reason }

// RetryAfter returns how long to wait before another try, 0 if none is of use.
func (r Refused) RetryAfter() clock.Millis { return r.after }

// WithSent returns the refusal of a target that was sent the request.
func (r Refused) WithSent() Refused {
	r.sent = true
	return r
}

// WithTargetLoad returns the refusal that a crowd at the target led to.
func (r Refused) WithTargetLoad(c TargetLoad) Refused {
	r.crowd = c
	return r
}

// TargetLoad returns how much the target had to do, the zero value if that decided nothing.
func (r Refused) TargetLoad() TargetLoad { return r.crowd }

// Sent reports whether a target was sent the request, which it did not run.
func (r Refused) Sent() bool { return r.sent }

// Unknown requests may have run, once at most.
type Unknown struct{ reason Reason }

// NewUnknown returns the outcome with its reason.
func NewUnknown(reason Reason) Unknown { return Unknown{reason: reason} }

// Reason returns why nobody can tell whether the request ran.
func (u Unknown) Reason() Reason { return u.reason }

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Unknown) outcome()  {}
