package retry

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

// Routed is like Proven, for requests of routes: only targets count for the limit of
// attempts, and a refusal of a daemon is tried elsewhere or told the caller soon, with
// when to come back.
type Routed struct{}

const (
	// MostAsked bounds the daemons that are asked for one request.
	MostAsked = 4
	// RoutedAwait bounds in milliseconds how long a request waits for its keys to have an
	// owner again.
	RoutedAwait = 400 * clock.Millisecond
	// MoveAwait bounds the same in milliseconds where the owner is up and hands the keys over,
	// which waits for what runs at its target.
	MoveAwait = 1500 * clock.Millisecond
	// RoutedPause is the pause after which the present owner is asked again, unless the
	// table changes before.
	RoutedPause = 100 * clock.Millisecond
)

func routed(a Attempt) Verdict {
	switch o := a.outcome.(type) {
	case result.Answered:
		return Stop{}
	case result.Refused:
		return a.elsewhere(o)
	case result.Unknown:
		if !a.repeatable || a.sent >= a.limit || ended(o.Reason()) {
			return Stop{}
		}
		return Retry{}
	}
	return Stop{}
}

// elsewhere decides after a refusal.
func (a Attempt) elsewhere(o result.Refused) Verdict {
	switch o.Reason() {
	case result.NotOwner, result.NotHeld:
		if a.choice {
			return a.another()
		}
		// Half of the time is left for the request's run.
		return a.hold(max(RoutedAwait, min(MoveAwait, (a.left+a.awaited)/2)))
	case result.NoOwner:
		return a.hold(RoutedAwait)
	case result.NotReady, result.Unreachable, result.NoTarget, result.Leaving:
		if !a.choice {
			return a.hold(RoutedAwait)
		}
		return a.another()
	case result.Overloaded, result.Shed:
		if !a.choice {
			return Stop{}
		}
		return a.another()
	case result.BadRequest, result.UnknownService, result.UnknownRoute, result.TooLarge, result.HeadTooLarge, result.Expired,
		result.TimedOut, result.Interrupted, result.Truncated, result.Mismatched, result.LeaseLapsed, result.Cancelled:
		return Stop{}
	}
	return Stop{}
}

// another asks another daemon, unless enough were asked.
func (a Attempt) another() Verdict {
	if a.count >= MostAsked || a.sent > a.limit {
		return Stop{}
	}
	return Retry{free: a.sent == 0}
}

// hold waits for the table to change, within milliseconds at most in all.
func (a Attempt) hold(within clock.Millis) Verdict {
	w := min(RoutedPause, within-a.awaited, a.left-MinLeft)
	if w <= 0 || a.sent > a.limit {
		return Stop{}
	}
	return AwaitUpdate{pause: w}
}
