// Package result holds the outcomes of a request: answered, refused (it certainly did not
// run), or unknown (it may have run).
package result

import "verbenabank/core/clock"

// Outcome is how a request ended: Answered, Refused or Unknown.
type Outcome interface{ outcome() }

// Answered means that the target gave a complete response, of any HTTP status.
type Answered struct{ status int }

// NewAnswered returns the outcome with the target's HTTP status.
func NewAnswered(status int) Answered { return Answered{status: status} }

// Status returns the target's HTTP status.
func (a Answered) Status() int { return a.status }

// minServerError is the lowest HTTP status of a server error.
const minServerError = 500

// Failed reports whether the response is a server error (5xx).
func (a Answered) Failed() bool { return a.status >= minServerError }

// Refused means that the request certainly did not run.
type Refused struct {
	reason     Reason
	retryAfter clock.Millis
	sent       bool
	targetLoad TargetLoad
	holdOff    clock.Millis
}

// TargetLoad is the load of a target at the time of a refusal.
type TargetLoad struct {
	running  int
	waiting  int
	meanTime clock.Millis
}

// NewTargetLoad returns the load with the numbers of running and waiting requests, and the mean
// service time.
func NewTargetLoad(running, waiting int, meanTime clock.Millis) TargetLoad {
	return TargetLoad{running: running, waiting: waiting, meanTime: meanTime}
}

// Running returns the number of requests that ran at the target.
func (l TargetLoad) Running() int { return l.running }

// Waiting returns the number of requests that waited in the queue of the target.
func (l TargetLoad) Waiting() int { return l.waiting }

// MeanTime returns the mean service time of the target.
func (l TargetLoad) MeanTime() clock.Millis { return l.meanTime }

// NewRefused returns the outcome with its reason and how long the caller should wait before
// it retries, 0 if the refusal names no time.
func NewRefused(reason Reason, retryAfter clock.Millis) Refused {
	return Refused{reason: reason, retryAfter: retryAfter}
}

// Reason returns why the request was refused.
func (r Refused) Reason() Reason { return r.reason }

// RetryAfter returns how long to wait before a retry, 0 if the refusal names no time.
func (r Refused) RetryAfter() clock.Millis { return r.retryAfter }

// WithRetryAfter returns the refusal with another time that the caller should wait before it retries.
func (r Refused) WithRetryAfter(d clock.Millis) Refused {
	r.retryAfter = d
	return r
}

// WithSent returns the refusal by a target that did receive the request.
func (r Refused) WithSent() Refused {
	r.sent = true
	return r
}

// WithTargetLoad returns the refusal with the load of the target that caused it.
func (r Refused) WithTargetLoad(l TargetLoad) Refused {
	r.targetLoad = l
	return r
}

// TargetLoad returns the load of the target that caused the refusal, the zero value if the load
// was not the cause.
func (r Refused) TargetLoad() TargetLoad { return r.targetLoad }

// WithHoldOff returns the refusal with the time for which the daemon of the target wants no further requests for its
// keys, since it has too little processor time.
func (r Refused) WithHoldOff(d clock.Millis) Refused {
	r.holdOff = d
	return r
}

// HoldOff returns for how long the daemon of the target wants no further requests for its keys, 0 if it does.
func (r Refused) HoldOff() clock.Millis { return r.holdOff }

// Sent reports whether the request was sent to a target, which refused to run it.
func (r Refused) Sent() bool { return r.sent }

// Unknown means that the request may have run, at most once.
type Unknown struct{ reason Reason }

// NewUnknown returns the outcome with its reason.
func NewUnknown(reason Reason) Unknown { return Unknown{reason: reason} }

// Reason returns why it is not known whether the request ran.
func (u Unknown) Reason() Reason { return u.reason }

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Unknown) outcome()  {}
