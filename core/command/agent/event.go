package agent

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/hold"
	"verbenabank/core/state/load"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// Event is an input of the agent: Ticked, Announced, Withdrawn, TargetLost, Connected, Disconnected,
// LeaseGranted, TableUpdated, RejoinRequired, LoadMeasured, ShardQuiesced, ShardDrained, AllDrained,
// CallEnded, TargetIdentified, RulesAnswered, Heartbeat or StopRequested.
type Event interface{ event() }

// Ticked reports that the instant returned by NextTick has passed.
type Ticked struct{}

// Announced reports that the local target is up.
type Announced struct {
	service     string
	address     string
	boot        string
	name        string
	incarnation uint64
	slots       int
	startTime   uint64
}

// NewAnnounced returns the announcement of a target of service at address
// ("ip:port"). boot differs for each start of the target.
func NewAnnounced(service, address, boot string) Announced {
	return Announced{service: service, address: address, boot: boot}
}

// WithIncarnation sets the name of the target and how many requests it runs at once. incarnation
// differs for each start of the target and is not 0; a restarted daemon uses it to find
// out what its target holds.
func (e Announced) WithIncarnation(name string, incarnation uint64, slots int) Announced {
	e.name, e.incarnation, e.slots = name, incarnation, slots
	return e
}

// WithStartTime sets the start time of the target, by which its processes are ordered.
func (e Announced) WithStartTime(startTime uint64) Announced {
	e.startTime = startTime
	return e
}

// Withdrawn reports that the target is about to stop.
type Withdrawn struct{}

// CallEnded reports the result of a call to the target.
type CallEnded struct {
	id     uint64
	result hold.Result
}

// NewCallEnded returns the event for the call with the ID.
func NewCallEnded(id uint64, r hold.Result) CallEnded { return CallEnded{id: id, result: r} }

// TargetLost reports that the target has ended or does not answer.
type TargetLost struct{ loss Loss }

// Loss is how a target was lost: Dead, PortClosed or Unresponsive.
type Loss interface{ loss() }

// Dead targets have ended and run nothing.
type Dead struct{}

// PortClosed targets accept no connections, since no process listens at their address. The process may
// still be working on requests that it received before.
type PortClosed struct{}

// Unresponsive targets do not answer, and may resume later.
type Unresponsive struct{}

func (Dead) loss()         {}
func (PortClosed) loss()   {}
func (Unresponsive) loss() {}

// NewTargetLost returns the event for the loss of the local target.
func NewTargetLost(l Loss) TargetLost { return TargetLost{loss: l} }

// TargetIdentified reports which process listens at the address of a target.
type TargetIdentified struct {
	name   string
	result hold.Result
}

// NewTargetIdentified returns the event for the named target. The result is hold.Done if the target itself
// listens, hold.Ended if another process does or none, and another one if that is not known.
func NewTargetIdentified(name string, r hold.Result) TargetIdentified {
	return TargetIdentified{name: name, result: r}
}

// Connected reports that a session with the leader has been established.
type Connected struct{}

// Disconnected reports that the session with the leader has ended.
type Disconnected struct{}

// LeaseGranted is the leader's answer to a renewal.
type LeaseGranted struct {
	sequence uint64
	ttl      clock.Millis
	rulesTTL clock.Millis
	version  uint64
	group    uint64
}

// NewLeaseGranted returns the answer to the renewal numbered sequence. The TTLs of the leases on
// ownership and on rules count from the sending of the renewal. version is the table version
// of the leader at the time, and group identifies its control group.
func NewLeaseGranted(sequence uint64, ttl, rulesTTL clock.Millis, version, group uint64) LeaseGranted {
	return LeaseGranted{sequence: sequence, ttl: ttl, rulesTTL: rulesTTL, version: version, group: group}
}

// TableUpdated carries the changes from one version of the routing table to another.
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

// RejoinRequired reports that the incarnation is not a member and must join anew.
type RejoinRequired struct{ incarnation table.Incarnation }

// NewRejoinRequired returns the event for the incarnation.
func NewRejoinRequired(i table.Incarnation) RejoinRequired { return RejoinRequired{incarnation: i} }

// LoadMeasured carries the load measured since the previous event of this type.
type LoadMeasured struct{ report load.Report }

// NewLoadMeasured returns the event with the report.
func NewLoadMeasured(r load.Report) LoadMeasured { return LoadMeasured{report: r} }

// ShardQuiesced reports that a moving shard can be closed without a long wait for requests in
// flight.
type ShardQuiesced struct {
	service string
	shard   table.Shard
	epoch   table.Epoch
}

// NewShardQuiesced returns the event for the shard at the epoch.
func NewShardQuiesced(service string, s table.Shard, e table.Epoch) ShardQuiesced {
	return ShardQuiesced{service: service, shard: s, epoch: e}
}

// ShardDrained reports that no request of a moving shard is in flight.
type ShardDrained struct {
	service string
	shard   table.Shard
	epoch   table.Epoch
}

// NewShardDrained returns the event for the shard at the epoch.
func NewShardDrained(service string, s table.Shard, e table.Epoch) ShardDrained {
	return ShardDrained{service: service, shard: s, epoch: e}
}

// AllDrained reports that no request is in flight at the target.
type AllDrained struct{}

// RulesAnswered is the answer of another member to AskRules.
type RulesAnswered struct {
	asked     clock.Millis
	group     uint64
	version   uint64
	newer     rules.Rules
	confirmed bool
	age       clock.Millis
}

// NewRulesAnswered returns the answer to a question that was asked at an instant by the clock of the daemon: the
// control group of the other member and the version of its rules.
func NewRulesAnswered(asked clock.Millis, group, version uint64) RulesAnswered {
	return RulesAnswered{asked: asked, group: group, version: version}
}

// WithNewer adds the rules of the other member, which are newer than those known when it was asked.
func (e RulesAnswered) WithNewer(r rules.Rules) RulesAnswered {
	e.newer = r
	return e
}

// WithConfirmation says that the other member's rules were the newest ones age before its answer.
func (e RulesAnswered) WithConfirmation(age clock.Millis) RulesAnswered {
	e.confirmed, e.age = true, age
	return e
}

// StopRequested reports that the process was asked to shut down.
type StopRequested struct{}

func (Ticked) event()           {}
func (Announced) event()        {}
func (Withdrawn) event()        {}
func (TargetLost) event()       {}
func (Connected) event()        {}
func (Disconnected) event()     {}
func (LeaseGranted) event()     {}
func (TableUpdated) event()     {}
func (RejoinRequired) event()   {}
func (LoadMeasured) event()     {}
func (ShardQuiesced) event()    {}
func (ShardDrained) event()     {}
func (AllDrained) event()       {}
func (StopRequested) event()    {}
func (CallEnded) event()        {}
func (TargetIdentified) event() {}
func (RulesAnswered) event()    {}
func (Heartbeat) event()        {}
