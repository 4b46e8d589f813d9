package owner

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
)

// SetHoldOff sets for how long other daemons keep requests for keys from this one after a refusal, 0 for no time. It is
// safe for concurrent use.
func (o *Owner) SetHoldOff(d clock.Millis) { o.holdOff.Store(int64(d)) }

// withHoldOff adds the hold-off to a refusal of a request for a key.
func (o *Owner) withHoldOff(f call.Failure) call.Failure {
	d := clock.Millis(o.holdOff.Load())
	if r, refused := f.Outcome().(result.Refused); refused && d > 0 {
		return call.NewFailure(r.WithHoldOff(d))
	}
	return f
}
