package picker

import "verbenabank/core/clock"

// Policy is how a target of a pooled service is picked: LeastLatency or ExpectedWork.
type Policy interface{ policy() }

// LeastLatency picks by the latency that this daemon has measured, with Pick.
type LeastLatency struct{}

// ExpectedWork picks the target with the earliest expected completion, with PickEarliest.
type ExpectedWork struct{ zoneCost clock.Millis }

// ZoneCostBytes is the number of bytes, of a request and its response together, that a zone cost is for.
const ZoneCostBytes = 4 << 10

// DefaultZoneCost is how much later, in milliseconds, a request of ZoneCostBytes may be expected to be completed in the
// own zone before it is sent to another one.
const DefaultZoneCost = 50 * clock.Millisecond

// NewExpectedWork returns the policy with the cost of ZoneCostBytes on the way to another zone and back in milliseconds.
func NewExpectedWork(zoneCost clock.Millis) ExpectedWork { return ExpectedWork{zoneCost: zoneCost} }

// ZoneCost returns the cost of ZoneCostBytes on the way to another zone and back in milliseconds.
func (p ExpectedWork) ZoneCost() clock.Millis { return p.zoneCost }

func (LeastLatency) policy() {}
func (ExpectedWork) policy() {}
