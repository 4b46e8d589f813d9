package hold

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// Call is a call to the target: Grant or Release.
type Call interface {
	// ID identifies the call when its result comes back.
	ID() uint64
	// Keys returns the first and the last key of the call, both inclusive.
	Keys() (first, last table.Key)
	call()
}

// Grant permits the target to execute requests for a range of keys, or renews that permission.
type Grant struct {
	id       uint64
	first    table.Key
	last     table.Key
	epoch    table.Epoch
	ttl      clock.Millis
	handover string
}

// ID identifies the call when its result comes back.
func (g Grant) ID() uint64 { return g.id }

// Keys returns the first and the last key, both inclusive.
func (g Grant) Keys() (first, last table.Key) { return g.first, g.last }

// Epoch returns the fencing token: the target refuses a grant with an earlier epoch than it has
// seen.
func (g Grant) Epoch() table.Epoch { return g.epoch }

// TTL returns the time to live in milliseconds, counted by the target from the arrival.
func (g Grant) TTL() clock.Millis { return g.ttl }

// Handover returns the token that the previous owner's target returned, "" if there is none.
func (g Grant) Handover() string { return g.handover }

// Release ends the grant of a range of keys.
type Release struct {
	id    uint64
	first table.Key
	last  table.Key
	epoch table.Epoch
}

// ID identifies the call when its result comes back.
func (r Release) ID() uint64 { return r.id }

// Keys returns the first and the last key, both inclusive.
func (r Release) Keys() (first, last table.Key) { return r.first, r.last }

// Epoch returns the epoch of the grant that is released.
func (r Release) Epoch() table.Epoch { return r.epoch }

func (Grant) call()   {}
func (Release) call() {}

// Result is the outcome of a call: Done, Stale, Unanswered, Unreached or Ended.
type Result interface{ result() }

// Done is the result of a call that is in effect.
type Done struct{ handover string }

// NewDone returns the result with the target's handover token for the next owner, "" if it
// returned none.
func NewDone(handover string) Done { return Done{handover: handover} }

// Stale is the result of a call that the target refused, since it has seen a later epoch.
type Stale struct{}

// Unanswered is the result of a call that may have arrived, and may take effect now or later.
type Unanswered struct{}

// Unreached is the result of a call that certainly did not arrive.
type Unreached struct{}

// Ended is the result of a call that did not arrive since the process that was granted the keys has ended: no
// connection to it is left, and its address refuses new ones or leads to another process.
type Ended struct{}

func (Done) result()       {}
func (Stale) result()      {}
func (Unanswered) result() {}
func (Unreached) result()  {}
func (Ended) result()      {}

// HeldRange is a range of keys that the target is certain to hold until an instant.
type HeldRange struct {
	first table.Key
	last  table.Key
	until clock.Millis
}

// First returns the first key, inclusive.
func (r HeldRange) First() table.Key { return r.first }

// Last returns the last key, inclusive.
func (r HeldRange) Last() table.Key { return r.last }

// Until returns when the grant ends, by the daemon's clock.
func (r HeldRange) Until() clock.Millis { return r.until }
