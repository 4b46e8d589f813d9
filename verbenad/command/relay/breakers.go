package relay

import (
	"sync"

	"verbenabank/core/clock"
	"verbenabank/core/command/breaker"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
)

// breakers holds requests back from owners that don't hold their keys. It is safe for concurrent use.
type breakers struct {
	clock *clock.Clock

	mu      sync.Mutex
	breaker *breaker.Breaker
}

func newBreakers(c *clock.Clock) *breakers { return &breakers{clock: c, breaker: breaker.New()} }

func (b *breakers) check(k breaker.Key) breaker.Verdict {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breaker.Check(k, now)
}

// record records the owner's reply to an admitted request.
func (b *breakers) record(k breaker.Key, a breaker.Admitted, reply call.Reply) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breaker.Record(k, a, outcomeOf(reply), now)
}

// outcomeOf returns what a reply says about whether the owner holds the key.
func outcomeOf(reply call.Reply) breaker.Outcome {
	f, failed := reply.(call.Failure)
	if !failed {
		return breaker.Served{}
	}
	o, refused := f.Outcome().(result.Refused)
	if !refused {
		return breaker.Unclear{}
	}
	switch o.Reason() {
	case result.NotHeld, result.NotOwner:
		return breaker.Refused{}
	case result.Overloaded, result.Shed:
		return breaker.Served{}
	case result.BadRequest, result.UnknownService, result.UnknownRoute, result.TooLarge, result.HeadTooLarge, result.Expired,
		result.TimedOut, result.Interrupted, result.Truncated, result.Mismatched, result.LeaseLapsed, result.Cancelled,
		result.NotReady, result.NoOwner, result.NoTarget, result.Leaving, result.Unreachable, result.ZoneDrained:
		return breaker.Unclear{}
	}
	return breaker.Unclear{}
}
