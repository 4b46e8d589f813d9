package agent

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/hold"
	"verbenabank/core/state/grant"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// Effect is an action that the agent requests: Publish, SendJoin, SendRenew, SendLeave,
// SendGone, AwaitQuiesced, AwaitShardDrained, AwaitAllDrained, UseTarget, ReportCold, SendCall, IdentifyTarget, AnswerHeartbeat,
// AskRules, RulesLapsed, RulesRenewed, DrainTarget, DropTarget, Reconnect, TargetReleased, InvariantViolated or Stopped. Effects are
// carried out in order.
type Effect interface{ effect() }

// Publish hands a new snapshot to the traffic goroutines.
type Publish struct{ snap *snap.Snapshot }

// Snap returns the snapshot, which is immutable.
func (e Publish) Snap() *snap.Snapshot { return e.snap }

// SendJoin asks the leader to add the member to the fleet.
type SendJoin struct {
	member table.Member
	group  uint64
}

// Member returns the joining member, in phase Warming.
func (e SendJoin) Member() table.Member { return e.member }

// Group returns the control group of earlier sessions, 0 if there was none.
func (e SendJoin) Group() uint64 { return e.group }

// SendRenew asks the leader to extend the lease.
type SendRenew struct {
	incarnation table.Incarnation
	sequence    uint64
	version     uint64
	releases    []logcmd.Release
	report      load.Report
	spans       []logcmd.ReleaseSpan
}

// Incarnation returns the member.
func (e SendRenew) Incarnation() table.Incarnation { return e.incarnation }

// Sequence returns the number of the renewal, by which its answer is matched.
func (e SendRenew) Sequence() uint64 { return e.sequence }

// Version returns the version of the member's routing table.
func (e SendRenew) Version() uint64 { return e.version }

// Releases returns the moving shards that have no requests in flight and can change their owner.
func (e SendRenew) Releases() []logcmd.Release { return e.releases }

// Report returns the load measured since the last renewal.
func (e SendRenew) Report() load.Report { return e.report }

// Spans returns the key ranges that the member's target no longer holds.
func (e SendRenew) Spans() []logcmd.ReleaseSpan { return e.spans }

// SendLeave tells the leader that the member is leaving, so that its shards are moved away.
type SendLeave struct {
	incarnation table.Incarnation
	targetLeft  bool
}

// Incarnation returns the member.
func (e SendLeave) Incarnation() table.Incarnation { return e.incarnation }

// TargetLeft reports whether the target has said that it stops, after which it doesn't join again.
func (e SendLeave) TargetLeft() bool { return e.targetLeft }

// SendGone tells the leader that the incarnation no longer holds anything.
type SendGone struct{ incarnation table.Incarnation }

// Incarnation returns the member.
func (e SendGone) Incarnation() table.Incarnation { return e.incarnation }

// AwaitQuiesced requests a ShardQuiesced event. The wait has two parts: until all requests have ended
// that are in flight now under other shards with keys of this shard, and then until no
// request of the shard itself has been in flight for longer than LongRequestAge. MaxWait limits
// only the second part.
type AwaitQuiesced struct {
	table   *table.Table
	service string
	shard   table.Shard
	epoch   table.Epoch
	maxWait clock.Millis
}

// Service returns the name of the service.
func (e AwaitQuiesced) Service() string { return e.service }

// Shard returns the shard.
func (e AwaitQuiesced) Shard() table.Shard { return e.shard }

// Epoch returns the epoch that ends.
func (e AwaitQuiesced) Epoch() table.Epoch { return e.epoch }

// SharesKeys reports whether a request in flight under the shard s may be for a key of this
// shard.
func (e AwaitQuiesced) SharesKeys(s table.Shard) bool {
	return e.table.MayShareKeys(e.service, e.shard, s)
}

// MaxWait returns the longest wait for requests of the shard itself, in milliseconds.
func (e AwaitQuiesced) MaxWait() clock.Millis { return e.maxWait }

// AwaitShardDrained requests a ShardDrained event once no request of the shard is in flight.
type AwaitShardDrained struct {
	service string
	shard   table.Shard
	epoch   table.Epoch
}

// Service returns the name of the service.
func (e AwaitShardDrained) Service() string { return e.service }

// Shard returns the shard.
func (e AwaitShardDrained) Shard() table.Shard { return e.shard }

// Epoch returns the epoch that ends.
func (e AwaitShardDrained) Epoch() table.Epoch { return e.epoch }

// AwaitAllDrained requests an AllDrained event once no request is in flight at the target.
type AwaitAllDrained struct{}

// UseTarget directs traffic to a target.
type UseTarget struct {
	service string
	address string
	name    string
	slots   int
}

// Service returns the name of the target's service.
func (e UseTarget) Service() string { return e.service }

// Address returns the address at which the target listens, as "ip:port".
func (e UseTarget) Address() string { return e.address }

// Name returns the name of the target, "" if it has none.
func (e UseTarget) Name() string { return e.name }

// Slots returns how many requests the target runs at once, 0 if the rules decide.
func (e UseTarget) Slots() int { return e.slots }

// ReportCold reports for how long the named target stays cold.
type ReportCold struct {
	name string
	left clock.Millis
}

// Name returns the name of the target.
func (e ReportCold) Name() string { return e.name }

// Left returns for how long the target stays cold, 0 if it is warm.
func (e ReportCold) Left() clock.Millis { return e.left }

// SendCall sends the target a call that grants or releases keys. The result is reported with a
// CallEnded event.
type SendCall struct{ call hold.Call }

// Call returns the call, with the ID that CallEnded must carry.
func (e SendCall) Call() hold.Call { return e.call }

// IdentifyTarget asks the process that listens at the address of the target for its name. The answer is reported
// with a TargetIdentified event.
type IdentifyTarget struct{}

// AnswerHeartbeat answers a heartbeat of the target.
type AnswerHeartbeat struct {
	id     uint64
	answer grant.Answer
}

// ID returns the ID of the heartbeat.
func (e AnswerHeartbeat) ID() uint64 { return e.id }

// Answer returns what the answer says about the target's keys.
func (e AnswerHeartbeat) Answer() grant.Answer { return e.answer }

// AskRules asks other members for rules newer than a version. Each answer is a RulesAnswered event with the same
// instant.
type AskRules struct {
	asked     clock.Millis
	version   uint64
	addresses []string
}

// Asked returns the current time by the clock of the daemon.
func (e AskRules) Asked() clock.Millis { return e.asked }

// Version returns the version of the known rules.
func (e AskRules) Version() uint64 { return e.version }

// Addresses returns the members' addresses, as "ip:port".
func (e AskRules) Addresses() []string { return e.addresses }

// RulesLapsed reports that the lease on the rules has ended: newer ones may be in force elsewhere.
type RulesLapsed struct{}

// RulesRenewed reports that a lapsed lease on the rules was renewed.
type RulesRenewed struct{ after clock.Millis }

// After returns for how long the lease had lapsed.
func (e RulesRenewed) After() clock.Millis { return e.after }

// DrainTarget stops sending requests to the target. Requests in flight continue.
type DrainTarget struct{}

// DropTarget closes all connections to the target, also those with requests in flight.
type DropTarget struct{}

// Reconnect ends the session and begins a new one.
type Reconnect struct{}

// TargetReleased reports that the withdrawn target has no request in flight and receives no more, so it
// may stop.
type TargetReleased struct{}

// InvariantViolated reports an event that the protocol rules out.
type InvariantViolated struct{ problem string }

// Problem returns a description for the log.
func (e InvariantViolated) Problem() string { return e.problem }

// Stopped reports that the process may exit.
type Stopped struct{}

func (Publish) effect()           {}
func (SendJoin) effect()          {}
func (SendRenew) effect()         {}
func (SendLeave) effect()         {}
func (SendGone) effect()          {}
func (AwaitQuiesced) effect()     {}
func (AwaitShardDrained) effect() {}
func (AwaitAllDrained) effect()   {}
func (UseTarget) effect()         {}
func (DrainTarget) effect()       {}
func (DropTarget) effect()        {}
func (Reconnect) effect()         {}
func (TargetReleased) effect()    {}
func (InvariantViolated) effect() {}
func (Stopped) effect()           {}
func (SendCall) effect()          {}
func (IdentifyTarget) effect()    {}
func (AnswerHeartbeat) effect()   {}
func (AskRules) effect()          {}
func (RulesLapsed) effect()       {}
func (RulesRenewed) effect()      {}
func (ReportCold) effect()        {}
