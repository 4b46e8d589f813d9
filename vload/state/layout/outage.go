package layout

import "verbenabank/core/clock"

// Outage is a time in which a run itself kept an instance from working.
type Outage struct {
	instance string
	from     clock.Millis
	to       clock.Millis
}

// NewOutage returns an outage between two instants on the boot clock.
func NewOutage(instance string, from, to clock.Millis) Outage {
	return Outage{instance: instance, from: from, to: to}
}

// Instance returns the name of the instance.
func (o Outage) Instance() string { return o.instance }

// Overlaps reports whether the outage has a part between two instants.
func (o Outage) Overlaps(from, to clock.Millis) bool { return o.from < to && from < o.to }
