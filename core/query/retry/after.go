package retry

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

// Default retry delays that callers are told for refusals without one of their own.
const (
	// AfterOverload applies when a target was overloaded.
	AfterOverload = 200 * clock.Millisecond
	// AfterUnavailable applies when an owner, a target or the configuration is missing; failover
	// takes no longer than this.
	AfterUnavailable = 2 * clock.Second
)

// After returns how long a caller should wait before it sends a refused request again. It
// returns 0 if a retry can't succeed.
func After(o result.Refused) clock.Millis {
	if o.RetryAfter() > 0 {
		return o.RetryAfter()
	}
	switch o.Reason() {
	case result.Overloaded, result.Shed:
		return AfterOverload
	case result.NotReady, result.NoOwner, result.NotOwner, result.NotHeld, result.NoTarget, result.Leaving, result.Unreachable,
		result.ZoneDrained:
		return AfterUnavailable
	case result.BadRequest, result.UnknownService, result.UnknownRoute, result.TooLarge, result.HeadTooLarge, result.Expired,
		result.TimedOut, result.Interrupted, result.Truncated, result.Mismatched, result.LeaseLapsed, result.Cancelled:
		return 0
	}
	return 0
}
