// Package retry decides what to do after a failed attempt.
//
// The rule is that of X402.Facilitator.Failover v0.9.0 (the Elixir library X402): an operation
// that must not run twice fails over only when the first attempt provably never reached the
// endpoint. Here the proof is the outcome result.Refused, which every hop returns only for
// requests that did not run.
package retry

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

// Policy selects the failures that are retried: IfSafe, Routed, Always or Never.
type Policy interface{ policy() }

// IfSafe retries requests that may run twice, and any request that certainly did not run.
type IfSafe struct{}

// Always retries every failure. It may run a request twice and exists only for comparison.
type Always struct{}

// Never retries nothing. It exists only for comparison.
type Never struct{}

func (IfSafe) policy() {}
func (Always) policy() {}
func (Never) policy()  {}
func (Routed) policy() {}

// Action is what to do next: Stop, Retry or AwaitUpdate.
type Action interface{ action() }

// Stop ends the request with the outcome of the last attempt.
type Stop struct{}

// Retry sends the request again after a delay, to another target if there is an alternative.
type Retry struct {
	delay        clock.Millis
	budgetExempt bool
}

// Delay returns how long to wait before the retry.
func (r Retry) Delay() clock.Millis { return r.delay }

// BudgetExempt reports whether the retry is exempt from the retry budget, since no target was sent the
// request so far.
func (r Retry) BudgetExempt() bool { return r.budgetExempt }

// AwaitUpdate retries when a newer snapshot of the table arrives or the wait is over, whichever comes
// first.
type AwaitUpdate struct{ maxWait clock.Millis }

// MaxWait returns the longest time to wait for the snapshot.
func (a AwaitUpdate) MaxWait() clock.Millis { return a.maxWait }

func (Stop) action()        {}
func (Retry) action()       {}
func (AwaitUpdate) action() {}

// Attempt describes a failed attempt.
type Attempt struct {
	outcome      result.Outcome
	count        int
	sent         int
	limit        int
	softDeadline clock.Millis
	remaining    clock.Millis
	waited       clock.Millis
	repeatable   bool
	replayable   bool
	alternatives bool
}

// Option sets one property of an Attempt.
type Option func(*Attempt)

// WithAttempts sets the number of attempts made so far and the number allowed.
func WithAttempts(made, limit int) Option { return func(a *Attempt) { a.count, a.limit = made, limit } }

// WithSent sets the number of targets that may have received the request.
func WithSent(targets int) Option { return func(a *Attempt) { a.sent = targets } }

// WithLatencyGoal sets the time to the soft deadline, after which a response has lost most of its value.
func WithLatencyGoal(remaining clock.Millis) Option {
	return func(a *Attempt) { a.softDeadline = remaining }
}

// WithRemaining sets the time to the deadline.
func WithRemaining(remaining clock.Millis) Option {
	return func(a *Attempt) { a.remaining = remaining }
}

// WithWaited sets how long the request has waited for an owner so far.
func WithWaited(total clock.Millis) Option { return func(a *Attempt) { a.waited = total } }

// WithRepeatable sets whether the request may run twice.
func WithRepeatable(yes bool) Option { return func(a *Attempt) { a.repeatable = yes } }

// WithReplayable sets whether the body can be sent again.
func WithReplayable(yes bool) Option { return func(a *Attempt) { a.replayable = yes } }

// WithAlternatives sets whether other targets could serve the request.
func WithAlternatives(yes bool) Option { return func(a *Attempt) { a.alternatives = yes } }

// NewAttempt returns an attempt that ended with o. Unless opts say otherwise, it is neither
// repeatable nor replayable and has no time left.
func NewAttempt(o result.Outcome, opts ...Option) Attempt {
	a := Attempt{outcome: o}
	for _, f := range opts {
		f(&a)
	}
	return a
}

const (
	// MinRemaining is the least time to the deadline that is worth another attempt. With less,
	// the deadline would turn a known refusal into an unknown outcome.
	MinRemaining = 50 * clock.Millisecond
	// BaseBackoff is the least wait before the same target is tried again. Waits for an owner
	// double it with each attempt, four times at most.
	BaseBackoff = 20 * clock.Millisecond
	// MaxOwnerWait is the total time that a request may wait for an owner.
	MaxOwnerWait = 2 * clock.Second
	// MaxBackoff is the longest wait between two attempts when no other target could serve the
	// request.
	MaxBackoff = 320 * clock.Millisecond
)

// Decide returns what to do after a failed attempt.
func Decide(p Policy, a Attempt) Action {
	if !a.replayable || a.remaining <= MinRemaining {
		return Stop{}
	}
	switch p.(type) {
	case Never:
		return Stop{}
	case Always:
		if a.count >= a.limit {
			return Stop{}
		}
		return Retry{delay: a.backoff(0)}
	case IfSafe:
		return decideIfSafe(a)
	case Routed:
		return decideRouted(a)
	}
	return Stop{}
}

// decideIfSafe retries refusals, and unknown outcomes only of requests that may run twice.
func decideIfSafe(a Attempt) Action {
	switch o := a.outcome.(type) {
	case result.Answered:
		return Stop{}
	case result.Refused:
		return afterRefusal(a, o)
	case result.Unknown:
		if !a.repeatable || a.count >= a.limit || final(o.Reason()) {
			return Stop{}
		}
		return Retry{delay: a.backoff(0)}
	}
	return Stop{}
}

func afterRefusal(a Attempt, o result.Refused) Action {
	switch o.Reason() {
	case result.NoOwner:
		return a.awaitOwner(MaxOwnerWait)
	case result.NotOwner, result.NotHeld:
		return a.awaitOwner(BaseBackoff << min(a.count, 4))
	case result.Unreachable, result.NoTarget, result.Leaving, result.NotReady:
		if !a.alternatives {
			return a.awaitOwner(min(MaxBackoff, BaseBackoff<<min(a.count, 4)))
		}
		if a.count >= a.limit {
			return Stop{}
		}
		return Retry{}
	case result.Overloaded, result.Shed:
		if a.count >= a.limit {
			return Stop{}
		}
		return a.retryAfter(o.RetryAfter())
	case result.BadRequest, result.UnknownService, result.UnknownRoute, result.TooLarge, result.HeadTooLarge, result.Expired,
		result.TimedOut, result.Interrupted, result.Truncated, result.Mismatched, result.LeaseLapsed, result.Cancelled,
		result.ZoneDrained:
		return Stop{}
	}
	return Stop{}
}

// awaitOwner waits for an owner until the backoff, the total wait or the deadline is over.
func (a Attempt) awaitOwner(backoff clock.Millis) Action {
	w := min(backoff, MaxOwnerWait-a.waited, a.remaining-MinRemaining)
	if w <= 0 {
		return Stop{}
	}
	return AwaitUpdate{maxWait: w}
}

// retryAfter retries after the delay that the refusal asks for, unless the deadline comes first.
func (a Attempt) retryAfter(after clock.Millis) Action {
	if w := a.backoff(after); w+MinRemaining < a.remaining {
		return Retry{delay: w}
	}
	return Stop{}
}

// backoff returns the wait before a retry: none if another target is tried, else the given
// delay, at least BaseBackoff.
func (a Attempt) backoff(after clock.Millis) clock.Millis {
	if a.alternatives {
		return 0
	}
	return max(after, BaseBackoff)
}

// final reports whether a retry is pointless because the caller is gone or the deadline is over.
func final(r result.Reason) bool { return r == result.Cancelled || r == result.TimedOut }
