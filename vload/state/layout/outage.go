package layout

import "verbenabank/core/clock"

// Outage is a period in which a process of an instance was not running, such as after an injected fault.
// The imbalance of the load leaves the instance out meanwhile.
type Outage struct {
	instance string
	from     clock.Millis
	to       clock.Millis
}

// NewOutage returns an outage of an instance between two instants on the boot clock.
func NewOutage(instance string, from, to clock.Millis) Outage {
	return Outage{instance: instance, from: from, to: to}
}

// Instance returns the name of the instance.
func (o Outage) Instance() string { return o.instance }

// Overlaps reports whether the outage overlaps the period between two instants. Periods that only share
// an end point do not overlap.
func (o Outage) Overlaps(from, to clock.Millis) bool { return o.from < to && from < o.to }
