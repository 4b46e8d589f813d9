// Package retry decides what to do after an attempt that failed.
//
// The rule is that of X402.Facilitator.Failover v0.9.0 (the Elixir library X402):
// an operation that must not run twice fails over only when the first attempt
// provably never reached the endpoint. Here the proof is an outcome of
// result.Refused, which every hop gives only for requests that did not run.
package retry

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

// Policy says which failures lead to another attempt: Proven, All or None.
type Policy interface{ policy() }

// IfSafe repeats what may run twice, and whatever surely did not run.
type IfSafe struct{}

// Always repeats every failure, for comparison only: it may run a request twice.
type Always struct{}

// Never repeats nothing, for comparison only.
type Never struct{}

func (IfSafe) policy() {}
func (Always) policy() {}
func (Never) policy()  {}
func (Routed) policy() {}

// Verdict is what to do next: Stop, Again or Await.
type Verdict interface{ verdict() }

// Stop ends the request with the outcome of the attempt.
type Stop struct{}

// Retry tries once more, elsewhere if there is a choice.
type Retry struct {
	after clock.Millis
	free  bool
}

// Delay returns how long to wait first.
func (a Retry) Delay() clock.Millis { return a.after }

// BudgetExempt reports whether the attempt costs no budget: no target was sent the request so far.
func (a Retry) BudgetExempt() bool { return a.free }

// AwaitUpdate tries once more when a newer snapshot is there or a pause is over,
// whichever comes first.
type AwaitUpdate struct{ pause clock.Millis }

// MaxWait returns the longest time to wait.
func (a AwaitUpdate) MaxWait() clock.Millis { return a.pause }

func (Stop) verdict()        {}
func (Retry) verdict()       {}
func (AwaitUpdate) verdict() {}

// Attempt describes the attempt that failed.
type Attempt struct {
	outcome    result.Outcome
	count      int
	sent       int
	limit      int
	aim        clock.Millis
	left       clock.Millis
	awaited    clock.Millis
	repeatable bool
	replayable bool
	choice     bool
}

// Option sets one property of an Attempt.
type Option func(*Attempt)

// WithAttempts sets how many attempts were made and how many are allowed.
func WithAttempts(made, limit int) Option { return func(a *Attempt) { a.count, a.limit = made, limit } }

// WithSent sets how many targets may have been sent the request.
func WithSent(targets int) Option { return func(a *Attempt) { a.sent = targets } }

// WithLatencyGoal sets how many milliseconds are left until an answer loses most of its worth.
func WithLatencyGoal(left clock.Millis) Option { return func(a *Attempt) { a.aim = left } }

// WithRemaining sets the time to the deadline.
func WithRemaining(left clock.Millis) Option { return func(a *Attempt) { a.left = left } }

// WithWaited sets for how long the request has waited for an owner.
func WithWaited(span clock.Millis) Option { return func(a *Attempt) { a.awaited = span } }

// WithRepeatable says that the request may run twice.
func WithRepeatable(yes bool) Option { return func(a *Attempt) { a.repeatable = yes } }

// WithReplayable says that the body can be sent once more.
func WithReplayable(yes bool) Option { return func(a *Attempt) { a.replayable = yes } }

// WithAlternatives says that other targets could serve the request.
func WithAlternatives(yes bool) Option { return func(a *Attempt) { a.choice = yes } }

// NewAttempt returns an attempt that ended with o, is not repeatable, not
// replayable and has no time left, unless opts say otherwise.
func NewAttempt(o result.Outcome, opts ...Option) Attempt {
	a := Attempt{outcome: o}
	for _, f := range opts {
		f(&a)
	}
	return a
}

const (
	// MinLeft is the least time to the deadline that is worth another attempt: the
	// deadline would turn a known refusal into an unknown outcome.
	MinLeft = 50 * clock.Millisecond
	// Pause is the wait before the same target is tried again, if the refusal
	// names none.
	Pause = 20 * clock.Millisecond
	// MaxAwait is how long a request may wait for an owner in all.
	MaxAwait = 2 * clock.Second
	// MaxPause is the longest wait between two attempts at an owner.
	MaxPause = 320 * clock.Millisecond
)

// Decide returns what to do after the attempt.
func Decide(p Policy, a Attempt) Verdict {
	if !a.replayable || a.left <= MinLeft {
		return Stop{}
	}
	switch p.(type) {
	case Never:
		return Stop{}
	case Always:
		if a.count >= a.limit {
			return Stop{}
		}
		return Retry{after: a.pause(0)}
	case IfSafe:
		return proven(a)
	case Routed:
		return routed(a)
	}
	return Stop{}
}

func proven(a Attempt) Verdict {
	switch o := a.outcome.(type) {
	case result.Answered:
		return Stop{}
	case result.Refused:
		return refused(a, o)
	case result.Unknown:
		if !a.repeatable || a.count >= a.limit || ended(o.Reason()) {
			return Stop{}
		}
		return Retry{after: a.pause(0)}
	}
	return Stop{}
}

func refused(a Attempt, o result.Refused) Verdict {
	switch o.Reason() {
	case result.NoOwner:
		return a.await(MaxAwait)
	case result.NotOwner, result.NotHeld:
		return a.await(Pause << min(a.count, 4))
	case result.Unreachable, result.NoTarget, result.Leaving, result.NotReady:
		if !a.choice {
			return a.await(min(MaxPause, Pause<<min(a.count, 4)))
		}
		if a.count >= a.limit {
			return Stop{}
		}
		return Retry{}
	case result.Overloaded, result.Shed:
		if a.count >= a.limit {
			return Stop{}
		}
		return a.again(o.RetryAfter())
	case result.BadRequest, result.UnknownService, result.UnknownRoute, result.TooLarge, result.HeadTooLarge, result.Expired,
		result.TimedOut, result.Interrupted, result.Truncated, result.Mismatched, result.LeaseLapsed, result.Cancelled:
		return Stop{}
	}
	return Stop{}
}

// await waits for an owner while that is of use.
func (a Attempt) await(pause clock.Millis) Verdict {
	w := min(pause, MaxAwait-a.awaited, a.left-MinLeft)
	if w <= 0 {
		return Stop{}
	}
	return AwaitUpdate{pause: w}
}

// again waits for as long as asked, unless the deadline comes first.
func (a Attempt) again(after clock.Millis) Verdict {
	if w := a.pause(after); w+MinLeft < a.left {
		return Retry{after: w}
	}
	return Stop{}
}

func (a Attempt) pause(after clock.Millis) clock.Millis {
	if a.choice {
		return 0
	}
	return max(after, Pause)
}

// ended reports that trying again is of no use.
func ended(r result.Reason) bool { return r == result.Cancelled || r == result.TimedOut }
