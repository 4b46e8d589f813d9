package logcmd

import "verbenabank/core/state/table"

// GrantSpan gives vacant keys of an ordered service to a member, at the epoch that is the
// index of the command.
type GrantSpan struct {
	service string
	first   table.Key
	last    table.Key
	owner   table.Incarnation
}

// NewGrantSpan returns the command for the keys from first to last, both included.
func NewGrantSpan(service string, first, last table.Key, owner table.Incarnation) GrantSpan {
	return GrantSpan{service: service, first: first, last: last, owner: owner}
}

// Service returns the name of the service.
func (c GrantSpan) Service() string { return c.service }

// First returns the first key.
func (c GrantSpan) First() table.Key { return c.first }

// Last returns the last key, which is included.
func (c GrantSpan) Last() table.Key { return c.last }

// Owner returns the member that is to own the keys.
func (c GrantSpan) Owner() table.Incarnation { return c.owner }

// MoveSpan asks the owner of keys at an epoch to hand them to a successor.
type MoveSpan struct {
	service   string
	first     table.Key
	last      table.Key
	epoch     table.Epoch
	successor table.Incarnation
}

// NewMoveSpan returns the command for the keys from first to last, both included.
func NewMoveSpan(service string, first, last table.Key, e table.Epoch, successor table.Incarnation) MoveSpan {
	return MoveSpan{service: service, first: first, last: last, epoch: e, successor: successor}
}

// Service returns the name of the service.
func (c MoveSpan) Service() string { return c.service }

// First returns the first key.
func (c MoveSpan) First() table.Key { return c.first }

// Last returns the last key, which is included.
func (c MoveSpan) Last() table.Key { return c.last }

// Epoch returns the epoch at which the keys are owned.
func (c MoveSpan) Epoch() table.Epoch { return c.epoch }

// Successor returns the member that is to own the keys.
func (c MoveSpan) Successor() table.Incarnation { return c.successor }

// ReleaseSpan says that the target of the owner at an epoch holds the keys no more. Moving
// keys pass to their successor, owned ones are vacant.
type ReleaseSpan struct {
	service  string
	first    table.Key
	last     table.Key
	epoch    table.Epoch
	handover string
}

// NewReleaseSpan returns the command for the keys from first to last, both included.
// handover is what the target gave for the next one, "" if it gave nothing.
func NewReleaseSpan(service string, first, last table.Key, e table.Epoch, handover string) ReleaseSpan {
	return ReleaseSpan{service: service, first: first, last: last, epoch: e, handover: handover}
}

// Service returns the name of the service.
func (c ReleaseSpan) Service() string { return c.service }

// First returns the first key.
func (c ReleaseSpan) First() table.Key { return c.first }

// Last returns the last key, which is included.
func (c ReleaseSpan) Last() table.Key { return c.last }

// Epoch returns the epoch that ends.
func (c ReleaseSpan) Epoch() table.Epoch { return c.epoch }

// Handover returns what the target gave for the next one.
func (c ReleaseSpan) Handover() string { return c.handover }

func (GrantSpan) command()   {}
func (MoveSpan) command()    {}
func (ReleaseSpan) command() {}
