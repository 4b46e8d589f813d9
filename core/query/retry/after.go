package retry

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

// Waits that callers are told for refusals that name none.
const (
	// AfterLoad is for targets that had too much to do.
	AfterLoad = 200 * clock.Millisecond
	// AfterLoss is for owners, targets or rules that are missing; a loss is made good
	// within it.
	AfterLoss = 2 * clock.Second
)

// After returns how long a caller should wait before it sends a refused request again, 0
// if that is of no use.
func After(o result.Refused) clock.Millis {
	if o.RetryAfter() > 0 {
		return o.RetryAfter()
	}
	switch o.Reason() {
	case result.Overloaded, result.Shed:
		return AfterLoad
	case result.NotReady, result.NoOwner, result.NotOwner, result.NotHeld, result.NoTarget, result.Leaving, result.Unreachable:
		return AfterLoss
	case result.BadRequest, result.UnknownService, result.UnknownRoute, result.TooLarge, result.HeadTooLarge, result.Expired,
		result.TimedOut, result.Interrupted, result.Truncated, result.Mismatched, result.LeaseLapsed, result.Cancelled:
		return 0
	}
	return 0
}
