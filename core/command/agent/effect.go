package agent

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/hold"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// Effect is what an agent asks for: Publish, SendJoin, SendRenew, SendLeave,
// SendGone, AwaitQuiet, WatchShard, WatchAll, UseTarget, ShutTarget, DropTarget, Reconnect, Freed,
// Violated or Stopped. Effects are carried out in their order.
type Effect interface{ effect() }

// Publish shows traffic a new snapshot.
type Publish struct{ snap *snap.Snapshot }

// Snap returns the snapshot.
func (e Publish) Snap() *snap.Snapshot { return e.snap }

// SendJoin announces the member to the leader.
type SendJoin struct {
	member table.Member
	group  uint64
}

// Member returns the member.
func (e SendJoin) Member() table.Member { return e.member }

// Group returns the control group of earlier sessions, 0 if there was none.
func (e SendJoin) Group() uint64 { return e.group }

// SendRenew asks the leader for a longer lease.
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

// Sequence returns the number of the renewal.
func (e SendRenew) Sequence() uint64 { return e.sequence }

// Version returns the version of the member's table.
func (e SendRenew) Version() uint64 { return e.version }

// Releases returns the moving shards without requests in flight.
func (e SendRenew) Releases() []logcmd.Release { return e.releases }

// Report returns what traffic counted since the last renewal.
func (e SendRenew) Report() load.Report { return e.report }

// Spans returns the keys that the member's target holds no more.
func (e SendRenew) Spans() []logcmd.ReleaseSpan { return e.spans }

// SendLeave tells the leader that the member is about to leave.
type SendLeave struct{ incarnation table.Incarnation }

// Incarnation returns the member.
func (e SendLeave) Incarnation() table.Incarnation { return e.incarnation }

// SendGone tells the leader that the incarnation holds nothing any more.
type SendGone struct{ incarnation table.Incarnation }

// Incarnation returns the member.
func (e SendGone) Incarnation() table.Incarnation { return e.incarnation }

// AwaitQuiesced asks for a ShardQuiet event: first once all requests have left that are in
// flight now under shards which share keys with the shard, and then once no request of the
// shard itself is in flight for longer than Patience, or after the span. The span does not
// bound the first.
type AwaitQuiesced struct {
	table   *table.Table
	service string
	shard   table.Shard
	epoch   table.Epoch
	span    clock.Millis
}

// Service returns the name of the service.
func (e AwaitQuiesced) Service() string { return e.service }

// Shard returns the shard.
func (e AwaitQuiesced) Shard() table.Shard { return e.shard }

// Epoch returns the epoch that ends.
func (e AwaitQuiesced) Epoch() table.Epoch { return e.epoch }

// SharesKeys reports whether a request in flight under another shard may be for a key of
// this one.
func (e AwaitQuiesced) SharesKeys(s table.Shard) bool {
	return e.table.MayShareKeys(e.service, e.shard, s)
}

// MaxWait returns the longest wait for the shard itself in milliseconds.
func (e AwaitQuiesced) MaxWait() clock.Millis { return e.span }

// AwaitShardDrained asks for a ShardDrained event once no request of the shard is in
// flight.
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

// AwaitAllDrained asks for an AllDrained event once no request is in flight at the
// target.
type AwaitAllDrained struct{}

// UseTarget sends traffic to a target.
type UseTarget struct {
	service string
	address string
	name    string
	room    int
}

// Service returns the name of the target's service.
func (e UseTarget) Service() string { return e.service }

// Address returns where the target listens, as "ip:port".
func (e UseTarget) Address() string { return e.address }

// Name returns the name that the target goes by, "" if it has none.
func (e UseTarget) Name() string { return e.name }

// Slots returns how many requests the target runs at once, 0 if only the rules say it.
func (e UseTarget) Slots() int { return e.room }

// SendCall gives the target an order about keys. An OrderEnded event is to follow.
type SendCall struct{ order hold.Call }

// Call returns the order.
func (e SendCall) Call() hold.Call { return e.order }

// DrainTarget sends nothing more to the target. What is under way goes on.
type DrainTarget struct{}

// DropTarget closes all connections to the target.
type DropTarget struct{}

// Reconnect ends the session and begins a new one.
type Reconnect struct{}

// TargetReleased says that the target that withdrew has no request in flight and gets no
// more.
type TargetReleased struct{}

// InvariantViolated says that something happened that the protocol rules out.
type InvariantViolated struct{ problem string }

// Problem returns what happened.
func (e InvariantViolated) Problem() string { return e.problem }

// Stopped says that the process may end.
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
