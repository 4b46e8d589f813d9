package ctrl

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/hold"
	"verbenabank/core/command/leader"
	"verbenabank/core/state/grant"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/peer"
	"verbenabank/core/state/table"
)

// The interfaces in this file carry out the effects of the control goroutine. Their methods are called
// from that goroutine and must not block.

// Session is the leader's side of a session with a daemon. A session whose send queue is full ends.
type Session interface {
	// Welcome sends the control group's identifier and the addresses of its replicas.
	Welcome(group uint64, replicas []string)
	Send(e leader.Effect, group uint64)
	// Redirect sends the daemon to another replica, to any if address is "", and ends the session.
	Redirect(address string)
}

// Uplink is the daemon's side of its session with the leader of the control group.
type Uplink interface {
	// Send sends a request or a report of the agent to the leader. It is lost if there is no session.
	Send(e agent.Effect)
	// Reconnect ends the session and begins a new one.
	Reconnect()
}

// Members asks other daemons.
type Members interface {
	// AskRules calls answered once for each answer, from other goroutines.
	AskRules(q agent.AskRules, answered func(agent.RulesAnswered))
}

// PeerTransport sends messages to other control replicas. It may lose messages.
type PeerTransport interface {
	Send(address string, m peer.Message)
}

// LogStore makes batches durable in the order of the calls. It confirms them with Persisted events and
// reports failures with DiskFailed.
type LogStore interface {
	Append(b peer.Batch)
}

// Target is the connection to the local target.
type Target interface {
	// Use directs traffic to a target.
	Use(t agent.UseTarget)
	// ReportCold records for how long the target stays cold.
	ReportCold(r agent.ReportCold)
	// Drain stops sending requests to the target. Requests in flight continue.
	Drain()
	// Drop also cancels the requests in flight.
	Drop()
	// SendCall sends the target a call that grants or releases keys, and calls done once with its
	// result.
	SendCall(c hold.Call, done func(hold.Result))
	// Identify asks the process at the target's address for its name, and calls done once with the name of
	// the target and hold.Done if it is that process, hold.Ended if the target has ended.
	Identify(done func(name string, r hold.Result))
}

// RequestTracker reports when requests in flight at the local target have ended. Each method calls
// notify once: before it returns, or later from any goroutine. notify must not block.
type RequestTracker interface {
	// OnCurrentDrained waits until the requests have ended that are in flight now in the shards of the
	// service selected by match.
	OnCurrentDrained(service string, match func(s table.Shard) bool, notify func())
	// OnQuiesced waits until no request of the shard has been in flight for longer than maxAge, but at
	// most for maxWait.
	OnQuiesced(service string, s table.Shard, maxAge, maxWait clock.Millis, notify func())
	// OnDrained waits until no request of the shard is in flight.
	OnDrained(service string, s table.Shard, notify func())
	// OnAllDrained waits until no request of any shard is in flight.
	OnAllDrained(notify func())
}

// LifecycleObserver is notified of answers to the local target, and of the end of the process.
type LifecycleObserver interface {
	// HeartbeatAnswered reports the answer to the heartbeat with the ID.
	HeartbeatAnswered(id uint64, a grant.Answer)
	// TargetReleased reports that the withdrawn target has no request in flight and receives no more.
	TargetReleased()
	// Stopped reports that a graceful shutdown is complete, so that the process may exit.
	Stopped()
	// Failed reports that the control goroutine has stopped because of err.
	Failed(err error)
}

// WallClock returns the current wall-clock time for the audit trail.
type WallClock func() logcmd.Timestamp
