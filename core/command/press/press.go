// Package press decides for how long the other daemons of a fleet keep requests for keys from an owner whose process
// has too little processor time (backpressure).
//
// A refusal costs the owner nearly as much as a request that it forwards, so a key that more requests come for than one
// target can serve takes all of its daemon's processor time. What suffers is everything that takes several steps: a
// handshake, a renewal, a configuration. The other daemons refuse such requests where they arrive instead, but for
// one in each hold-off.
package press

import "verbenabank/core/clock"

const (
	// SaturatedLatency is how long goroutines wait for a processor from when on the hold-off grows.
	SaturatedLatency = 100 * clock.Millisecond
	// IdleLatency is how long they wait at most for the hold-off to shrink.
	IdleLatency = 30 * clock.Millisecond
	// MinHoldOff is the first hold-off.
	MinHoldOff = 100 * clock.Millisecond
	// MaxHoldOff is the longest hold-off.
	MaxHoldOff = 1600 * clock.Millisecond
)

// Controller is the owner's side: it follows how long its goroutines wait. It is not safe for concurrent use.
type Controller struct{ holdOff clock.Millis }

// Record takes the latency of the last interval and returns the hold-off from now on, 0 for none. The hold-off doubles
// while the process is saturated, and shrinks by an eighth when it is not.
func (c *Controller) Record(latency clock.Millis) clock.Millis {
	switch {
	case latency >= SaturatedLatency:
		c.holdOff = min(MaxHoldOff, max(MinHoldOff, 2*c.holdOff))
	case latency <= IdleLatency:
		c.holdOff = c.holdOff * 7 / 8
		if c.holdOff < MinHoldOff/2 {
			c.holdOff = 0
		}
	}
	return c.holdOff
}
