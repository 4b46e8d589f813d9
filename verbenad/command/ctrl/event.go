package ctrl

import (
	"verbenabank/core/command/agent"
	"verbenabank/core/command/leader"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/peer"
)

// Event is an input of the control goroutine: AgentEvent, PeerMessage, Persisted, SessionOpened,
// SessionClosed, LeaderEvent, Proposed, SnapshotTaken, ReadRequested, DiskFailed or TransferRequested.
type Event interface{ event() }

// Local carries an event for this daemon's agent.
type Local struct {
	inner agent.Event
	done  func()
}

// NewLocal returns the event that passes e to the agent.
func NewLocal(e agent.Event) Local { return Local{inner: e} }

// Then sets a function that is called from the control goroutine once the agent has processed the
// event. It must not block.
func (e Local) Then(done func()) Local {
	e.done = done
	return e
}

// Peer carries a message from another control replica.
type Peer struct{ message peer.Message }

// NewPeer returns the event for the arrival of m.
func NewPeer(m peer.Message) Peer { return Peer{message: m} }

// Synced reports that all log batches up to a sequence number are durable.
type Synced struct{ sequence uint64 }

// NewSynced returns the event for all batches up to and including sequence.
func NewSynced(sequence uint64) Synced { return Synced{sequence: sequence} }

// Opened reports that a daemon has opened a session, which only the leader accepts.
type Opened struct {
	id      leader.SessionID
	session Session
}

// NewOpened returns the event for the session s, which is identified by id.
func NewOpened(id leader.SessionID, s Session) Opened { return Opened{id: id, session: s} }

// Closed reports that a session has ended.
type Closed struct{ id leader.SessionID }

// NewClosed returns the event for the session identified by id.
func NewClosed(id leader.SessionID) Closed { return Closed{id: id} }

// Asked carries a daemon's request or report to the leader. It is discarded by replicas that do not
// lead.
type Asked struct{ inner leader.Event }

// NewAsked returns the event that passes e to the leader.
func NewAsked(e leader.Event) Asked { return Asked{inner: e} }

// Offered proposes a configuration to the control group.
type Offered struct {
	proposal logcmd.SetRules
	reply    func(Answer)
}

// NewOffered returns the proposal p. reply is called once, from the control goroutine, and must
// not block.
func NewOffered(p logcmd.SetRules, reply func(Answer)) Offered {
	return Offered{proposal: p, reply: reply}
}

// SnapshotTaken carries the encoded fleet state after the log entry at an index.
type SnapshotTaken struct {
	index uint64
	data  []byte
}

// Consulted requests a linearizable read of the fleet state, with the rules in force.
type Consulted struct{ reply func(Finding) }

// NewConsulted returns the read request. reply is called once, from the control goroutine, and
// must not block.
func NewConsulted(reply func(Finding)) Consulted { return Consulted{reply: reply} }

// Finding is the result of a ReadRequested event: Confirmed or Unconfirmed.
type Finding interface{ readResult() }

// Confirmed carries a state that was current at some time after the read was requested, since a
// quorum confirmed that this replica leads.
type Confirmed struct{ fleet *fleet.State }

// Fleet returns the state.
func (c Confirmed) Fleet() *fleet.State { return c.fleet }

// Unconfirmed reports that this replica does not lead, so that the read must be sent to another one.
type Unconfirmed struct{ leader string }

// Leader returns the address of the replica to ask, "" if it is not known.
func (u Unconfirmed) Leader() string { return u.leader }

func (Confirmed) readResult()   {}
func (Unconfirmed) readResult() {}

// DiskFailed reports that the log store has failed for good.
type DiskFailed struct{ err error }

// NewDiskFailed returns the event with the cause.
func NewDiskFailed(err error) DiskFailed { return DiskFailed{err: err} }

// Handover asks a leading replica to transfer leadership before a planned stop.
type Handover struct{}

func (Local) event()         {}
func (Peer) event()          {}
func (Synced) event()        {}
func (Opened) event()        {}
func (Closed) event()        {}
func (Asked) event()         {}
func (Offered) event()       {}
func (SnapshotTaken) event() {}
func (DiskFailed) event()    {}
func (Handover) event()      {}
func (Consulted) event()     {}

// Answer is the result of a proposal: Decided or Undecided.
type Answer interface{ proposalResult() }

// Judged proposals were committed and then accepted or rejected.
type Judged struct {
	verdict fleet.Verdict
	fleet   *fleet.State
}

// Verdict returns the decision on the configuration.
func (a Judged) Verdict() fleet.Verdict { return a.verdict }

// Fleet returns the state after the decision.
func (a Judged) Fleet() *fleet.State { return a.fleet }

// Undecided proposals may or may not be committed later. The same proposal can be made again.
type Undecided struct{ leader string }

// Leader returns the address of the replica to ask, "" if it is not known.
func (a Undecided) Leader() string { return a.leader }

func (Judged) proposalResult()    {}
func (Undecided) proposalResult() {}
