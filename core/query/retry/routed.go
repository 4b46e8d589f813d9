package retry

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

// Routed is like IfSafe, for requests that match a configured route. Only attempts that reached
// a target count toward the limit. When a daemon refuses, another one is tried, or the caller
// soon gets the refusal with the time to retry after.
type Routed struct{}

const (
	// MaxDaemons is the largest number of daemons that are tried for one request.
	MaxDaemons = 4
	// RoutedOwnerWait is the total time that a request may wait for its key to have an owner
	// again.
	RoutedOwnerWait = 400 * clock.Millisecond
	// HandoverWait is the upper bound of that time during a handover by an owner that is up,
	// which has to wait for the requests in flight at its target.
	HandoverWait = 1500 * clock.Millisecond
	// RoutedBackoff is the wait before the current owner is tried again, unless the table changes
	// before.
	RoutedBackoff = 100 * clock.Millisecond
)

// decideRouted applies the rules of Routed.
func decideRouted(a Attempt) Action {
	switch o := a.outcome.(type) {
	case result.Answered:
		return Stop{}
	case result.Refused:
		return a.routedAfterRefusal(o)
	case result.Unknown:
		if !a.repeatable || a.sent >= a.limit || final(o.Reason()) {
			return Stop{}
		}
		return Retry{}
	}
	return Stop{}
}

// routedAfterRefusal tries another daemon, waits for an owner or gives up, depending on the
// reason of the refusal.
func (a Attempt) routedAfterRefusal(o result.Refused) Action {
	switch o.Reason() {
	case result.NotOwner, result.NotHeld:
		if a.alternatives {
			return a.resendElsewhere()
		}
		// Half of the time up to the deadline is kept for running the request.
		return a.awaitWithin(max(RoutedOwnerWait, min(HandoverWait, (a.remaining+a.waited)/2)))
	case result.NoOwner:
		return a.awaitWithin(RoutedOwnerWait)
	case result.NotReady, result.Unreachable, result.NoTarget, result.Leaving:
		if !a.alternatives {
			return a.awaitWithin(RoutedOwnerWait)
		}
		return a.resendElsewhere()
	case result.Overloaded, result.Shed:
		if !a.alternatives {
			return Stop{}
		}
		return a.resendElsewhere()
	case result.BadRequest, result.UnknownService, result.UnknownRoute, result.TooLarge, result.HeadTooLarge, result.Expired,
		result.TimedOut, result.Interrupted, result.Truncated, result.Mismatched, result.LeaseLapsed, result.Cancelled,
		result.ZoneDrained:
		return Stop{}
	}
	return Stop{}
}

// resendElsewhere retries at another daemon unless the limit of daemons or targets is reached.
func (a Attempt) resendElsewhere() Action {
	if a.count >= MaxDaemons || a.sent > a.limit {
		return Stop{}
	}
	return Retry{budgetExempt: a.sent == 0}
}

// awaitWithin waits for the table to change, up to a limit on the total wait of the request.
func (a Attempt) awaitWithin(limit clock.Millis) Action {
	w := min(RoutedBackoff, limit-a.waited, a.remaining-MinRemaining)
	if w <= 0 || a.sent > a.limit {
		return Stop{}
	}
	return AwaitUpdate{maxWait: w}
}
