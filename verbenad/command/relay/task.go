package relay

import (
	"context"
	"errors"
	"os"
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/query/retry"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// Result is the reply to a request, with the instance that gave it and the number of attempts.
type Result struct {
	reply    call.Reply
	instance string
	attempts int
}

// Reply returns the reply. The caller must close the body of a call.Response.
func (r Result) Reply() call.Reply { return r.reply }

// Instance returns the instance of the last attempt, "" if the request was not forwarded.
func (r Result) Instance() string { return r.instance }

// Attempts returns how many times the request was forwarded to a daemon, this one included.
func (r Result) Attempts() int { return r.attempts }

// task is the state of one request across its attempts.
type task struct {
	relay   *Relay
	request Request
	ctx     context.Context

	attempts     int                        // times the request was forwarded to a daemon
	sentCount    int                        // attempts that may have reached a target
	waited       clock.Millis               // time spent waiting for a newer snapshot
	tried        map[table.Incarnation]bool // members of a pooled service that were tried
	alternatives bool                       // more than one target could serve the request
	firstUnknown result.Outcome             // nil while no attempt may have run
	instance     string                     // instance of the last attempt
	turnedAway   bool                       // all targets of the class would refuse the request
}

// Run serves a request and returns the reply of the last attempt. ctx must end at the deadline and
// when the caller disconnects, and otherwise not before the body of the response was read.
func (r *Relay) Run(ctx context.Context, q Request) Result {
	t := &task{relay: r, request: q, ctx: ctx}
	reply := t.run()
	return Result{reply: reply, instance: t.instance, attempts: t.attempts}
}

func (t *task) run() call.Reply {
	percent := t.request.retryPercent
	if t.relay.retryPercent >= 0 {
		percent = t.relay.retryPercent
	}
	t.relay.budget(t.request.service.Name()).Earn(percent, t.daemonCount(), t.relay.clock.Now())
	for {
		s := t.relay.store.Load()
		reply, served := t.attempt(s)
		f, failed := reply.(call.Failure)
		if !failed {
			t.recordEnd(nil)
			return reply
		}
		o := t.withBodyError(f.Outcome())
		if t.turnedAway || !t.prepareRetry(s, served, o) {
			o = t.finalOutcome(o)
			t.recordEnd(o)
			return call.NewFailure(t.spreadOut(o))
		}
	}
}

// daemonCount returns how many daemons share the retry budget of the fleet.
func (t *task) daemonCount() int { return t.relay.store.Load().Table().MemberCount() }

// withBodyError returns an unknown outcome with the reason on the caller's side if the attempt
// failed because the request body could not be read, otherwise the outcome as it is.
func (t *task) withBodyError(o result.Outcome) result.Outcome {
	if _, ok := o.(result.Unknown); !ok || t.request.body == nil {
		return o
	}
	switch err := t.request.body.readError(); {
	case err == nil:
		return o
	case err.Kind() == Oversized:
		return result.NewUnknown(result.TooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.NewUnknown(result.TimedOut)
	default:
		return result.NewUnknown(result.Cancelled)
	}
}

// finalOutcome returns the outcome of the request over all attempts: once an attempt may have run,
// the refusal of a later one does not make the request safe to repeat.
func (t *task) finalOutcome(last result.Outcome) result.Outcome {
	if t.firstUnknown != nil {
		return t.firstUnknown
	}
	return last
}

// prepareRetry decides whether the outcome of an attempt allows a retry, and waits for the delay or
// the table update that must come before it, or until served is closed. It reports whether to retry.
func (t *task) prepareRetry(s *snap.Snapshot, served <-chan struct{}, o result.Outcome) bool {
	switch o := o.(type) {
	case result.Unknown:
		t.sentCount++
		if t.firstUnknown == nil {
			t.firstUnknown = o
		}
	case result.Refused:
		if o.Sent() {
			t.sentCount++
		}
	case result.Answered:
	}
	now := t.relay.clock.Now()
	v := retry.Decide(t.relay.policy, retry.NewAttempt(o,
		retry.WithAttempts(t.attempts, t.request.maxAttempts), retry.WithSent(t.sentCount),
		retry.WithRemaining(t.request.deadline-now), retry.WithLatencyGoal(t.request.latencyGoal-now),
		retry.WithWaited(t.waited),
		retry.WithRepeatable(t.request.repeatable),
		retry.WithReplayable(t.request.body == nil || t.request.body.replayable()),
		retry.WithAlternatives(t.alternatives)))
	switch v := v.(type) {
	case retry.Stop:
		return false
	case retry.Retry:
		if !v.BudgetExempt() && !t.relay.budget(t.request.service.Name()).Spend(t.daemonCount(), now) {
			t.relay.meter.Add("budget_exhausted", 1)
			return false
		}
		t.relay.meter.Add("retries", 1)
		return t.wait(nil, nil, v.Delay())
	case retry.AwaitUpdate:
		t.relay.meter.Add("awaits", 1)
		inTime := t.wait(s.Superseded(), served, v.MaxWait())
		t.waited += t.relay.clock.Now() - now
		return inTime
	}
	return false
}

// wait blocks for the delay or until one of the channels is closed, whichever comes first; either may be nil.
// It reports false if the request's context ended.
func (t *task) wait(superseded, served <-chan struct{}, delay clock.Millis) bool {
	if delay <= 0 {
		return t.ctx.Err() == nil
	}
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	select {
	case <-superseded:
		return true
	case <-served:
		return true
	case <-timer.C:
		return true
	case <-t.ctx.Done():
		return false
	}
}
