package agent

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/hold"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// Event is what an agent reacts to: Ticked, Announced, Withdrawn, TargetLost,
// Connected, Disconnected, LeaseGiven, Updated, RejoinTold, Measured,
// ShardQuiet, ShardDrained, AllDrained or StopAsked.
type Event interface{ event() }

// Ticked says that the instant asked for by Wake has come.
type Ticked struct{}

// Announced says that the target beside is up.
type Announced struct {
	service string
	address string
	boot    string
	name    string
	life    uint64
	room    int
	born    uint64
}

// NewAnnounced returns the announcement of a target of service at address
// ("ip:port"). boot is new for each start of the target.
func NewAnnounced(service, address, boot string) Announced {
	return Announced{service: service, address: address, boot: boot}
}

// WithIncarnation returns the announcement of a target that goes by a name and runs room requests
// at once. life is new for each start of the target and not 0; a daemon that is restarted
// finds by it what its target holds.
func (e Announced) WithIncarnation(name string, life uint64, room int) Announced {
	e.name, e.life, e.room = name, life, room
	return e
}

// WithStartTime returns the announcement with the time of the target's start.
func (e Announced) WithStartTime(born uint64) Announced {
	e.born = born
	return e
}

// Withdrawn says that the target is about to stop.
type Withdrawn struct{}

// CallEnded brings the result of an order to the target.
type CallEnded struct {
	id     uint64
	result hold.Result
}

// NewCallEnded returns the event for the order with the number.
func NewCallEnded(id uint64, r hold.Result) CallEnded { return CallEnded{id: id, result: r} }

// TargetLost says that the target is gone or answers no more.
type TargetLost struct{ loss Loss }

// Loss is how a target was lost: Dead, Shut or Mute.
type Loss interface{ loss() }

// Dead targets run nothing.
type Dead struct{}

// PortClosed targets take no connections: no process listens at their address. One may still be at work
// on what it has.
type PortClosed struct{}

// Unresponsive targets do not answer and may go on later.
type Unresponsive struct{}

func (Dead) loss()         {}
func (PortClosed) loss()   {}
func (Unresponsive) loss() {}

// NewTargetLost returns the loss of the target.
func NewTargetLost(l Loss) TargetLost { return TargetLost{loss: l} }

// Connected says that there is a session with the leader.
type Connected struct{}

// Disconnected says that the session ended.
type Disconnected struct{}

// LeaseGranted answers a renewal.
type LeaseGranted struct {
	sequence  uint64
	span      clock.Millis
	rulesSpan clock.Millis
	version   uint64
	group     uint64
}

// NewLeaseGranted returns the answer to the renewal numbered sequence: the spans
// count from its sending, and the table was at version when it was given by the
// group.
func NewLeaseGranted(sequence uint64, span, rulesSpan clock.Millis, version, group uint64) LeaseGranted {
	return LeaseGranted{sequence: sequence, span: span, rulesSpan: rulesSpan, version: version, group: group}
}

// TableUpdated brings the table from one version to another.
type TableUpdated struct {
	full    bool
	from    uint64
	to      uint64
	changes []table.Change
}

// NewTableUpdated returns the changes between two versions, or from the empty table
// if full.
func NewTableUpdated(full bool, from, to uint64, changes []table.Change) TableUpdated {
	return TableUpdated{full: full, from: from, to: to, changes: changes}
}

// RejoinRequired says that the incarnation is not a member.
type RejoinRequired struct{ incarnation table.Incarnation }

// NewRejoinRequired returns the event for the incarnation.
func NewRejoinRequired(i table.Incarnation) RejoinRequired { return RejoinRequired{incarnation: i} }

// LoadMeasured carries what traffic counted since the last time.
type LoadMeasured struct{ report load.Report }

// NewLoadMeasured returns the event with the report.
func NewLoadMeasured(r load.Report) LoadMeasured { return LoadMeasured{report: r} }

// ShardQuiesced says that a moving shard can be closed without keeping its keys
// waiting for long.
type ShardQuiesced struct {
	service string
	shard   table.Shard
	epoch   table.Epoch
}

// NewShardQuiesced returns the event for the shard at the epoch.
func NewShardQuiesced(service string, s table.Shard, e table.Epoch) ShardQuiesced {
	return ShardQuiesced{service: service, shard: s, epoch: e}
}

// ShardDrained says that no request of a moving shard is in flight.
type ShardDrained struct {
	service string
	shard   table.Shard
	epoch   table.Epoch
}

// NewShardDrained returns the event for the shard at the epoch.
func NewShardDrained(service string, s table.Shard, e table.Epoch) ShardDrained {
	return ShardDrained{service: service, shard: s, epoch: e}
}

// AllDrained says that no request is in flight at the target.
type AllDrained struct{}

// StopRequested says that the process is to stop.
type StopRequested struct{}

func (Ticked) event()         {}
func (Announced) event()      {}
func (Withdrawn) event()      {}
func (TargetLost) event()     {}
func (Connected) event()      {}
func (Disconnected) event()   {}
func (LeaseGranted) event()   {}
func (TableUpdated) event()   {}
func (RejoinRequired) event() {}
func (LoadMeasured) event()   {}
func (ShardQuiesced) event()  {}
func (ShardDrained) event()   {}
func (AllDrained) event()     {}
func (StopRequested) event()  {}
func (CallEnded) event()      {}
func (Heartbeat) event()      {}
