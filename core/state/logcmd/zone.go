package logcmd

// SetZoneDrain drains an availability zone, or ends its drain. While a zone is drained, its members get no requests and
// no keys. The command may be repeated.
type SetZoneDrain struct {
	zone     string
	drained  bool
	instance string
	base     uint64
}

// NewSetZoneDrain returns the command of an operator who called the given instance, whose table had the version base
// by then. The command has no effect if the zone was drained or taken back later than that: a call that was repeated
// elsewhere must not undo a later one.
func NewSetZoneDrain(zone string, drained bool, instance string, base uint64) SetZoneDrain {
	return SetZoneDrain{zone: zone, drained: drained, instance: instance, base: base}
}

// Zone returns the availability zone.
func (c SetZoneDrain) Zone() string { return c.zone }

// Drained reports whether the zone is to be drained.
func (c SetZoneDrain) Drained() bool { return c.drained }

// Instance returns the instance that the operator called.
func (c SetZoneDrain) Instance() string { return c.instance }

// Base returns the version of the table that the instance had when it was called.
func (c SetZoneDrain) Base() uint64 { return c.base }

func (SetZoneDrain) command() {}
