package hold

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// Call is a call to the target: Grant or Release.
type Call interface {
	// ID returns the number of the order, to be given back with its result.
	ID() uint64
	// Keys returns the first and the last key that the order is about.
	Keys() (first, last table.Key)
	order()
}

// Grant lets the target run requests for keys, or lets it go on.
type Grant struct {
	id       uint64
	first    table.Key
	last     table.Key
	epoch    table.Epoch
	span     clock.Millis
	handover string
}

// ID returns the number of the order.
func (g Grant) ID() uint64 { return g.id }

// Keys returns the first and the last key.
func (g Grant) Keys() (first, last table.Key) { return g.first, g.last }

// Epoch returns the epoch of the grant.
func (g Grant) Epoch() table.Epoch { return g.epoch }

// TTL returns how long the target holds the keys, in milliseconds from the arrival.
func (g Grant) TTL() clock.Millis { return g.span }

// Handover returns what the last owner's target gave, "" if it gave nothing.
func (g Grant) Handover() string { return g.handover }

// Release ends the hold of keys.
type Release struct {
	id    uint64
	first table.Key
	last  table.Key
	epoch table.Epoch
}

// ID returns the number of the order.
func (r Release) ID() uint64 { return r.id }

// Keys returns the first and the last key.
func (r Release) Keys() (first, last table.Key) { return r.first, r.last }

// Epoch returns the epoch of the grant that ends.
func (r Release) Epoch() table.Epoch { return r.epoch }

func (Grant) order()   {}
func (Release) order() {}

// Result is how an order ended: Done, Stale, Unanswered or Unreached.
type Result interface{ result() }

// Done orders are in effect.
type Done struct{ handover string }

// NewDone returns the result, with what the target gave for the next owner, if it gave
// anything.
func NewDone(handover string) Done { return Done{handover: handover} }

// Stale orders were refused, since the target has seen a later epoch.
type Stale struct{}

// Unanswered orders may take effect, now or later.
type Unanswered struct{}

// Unreached orders surely did not arrive.
type Unreached struct{}

func (Done) result()       {}
func (Stale) result()      {}
func (Unanswered) result() {}
func (Unreached) result()  {}

// Run is a run of keys that the target surely holds until an instant.
type Run struct {
	first table.Key
	last  table.Key
	until clock.Millis
}

// First returns the first key.
func (r Run) First() table.Key { return r.first }

// Last returns the last key.
func (r Run) Last() table.Key { return r.last }

// Until returns the end of the hold.
func (r Run) Until() clock.Millis { return r.until }
