package ctrl

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/hold"
	"verbenabank/core/command/leader"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/peer"
	"verbenabank/core/state/table"
)

// The ports are what the control goroutine hands effects to. None of their
// methods may block.

// Outlet sends orders to one daemon. A full outlet ends its session.
type Outlet interface {
	Welcome(group uint64, replicas []string)
	Send(e leader.Effect, group uint64)
	// Redirect names the replica to ask instead and ends the session.
	Redirect(address string)
}

// Uplink sends reports to the leader of the control group.
type Uplink interface {
	Send(e agent.Effect)
	Reconnect()
}

// Peers sends messages to other control replicas; it may lose them.
type Peers interface {
	Send(address string, m peer.Message)
}

// Log makes batches durable in order and answers with Synced events.
type Log interface {
	Append(b peer.Batch)
}

// Target is the traffic side of the target beside the daemon.
type Target interface {
	Use(t agent.UseTarget)
	Drain()
	Drop()
	// SendCall gives the target an order about keys and calls done once with its result.
	SendCall(o hold.Call, done func(hold.Result))
}

// Flight tells when requests in flight are done, from any goroutine.
type Flight interface {
	Past(service string, match func(s table.Shard) bool, notify func())
	Quiet(service string, s table.Shard, patience, span clock.Millis, notify func())
	Drained(service string, s table.Shard, notify func())
	Empty(notify func())
}

// Waiter is told about the end of a leave and of the process, from the control
// goroutine.
type Waiter interface {
	Freed()
	Stopped()
	Failed(err error)
}

// Stamp reads the wall clock for the audit trail.
type Stamp func() logcmd.Timestamp
