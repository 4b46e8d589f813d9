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

// AgentEvent carries an event for this daemon's agent.
type AgentEvent struct {
	inner agent.Event
	done  func()
}

// NewAgentEvent returns the event that passes e to the agent.
func NewAgentEvent(e agent.Event) AgentEvent { return AgentEvent{inner: e} }

// Then sets a function that is called from the control goroutine once the agent has processed the
// event. It must not block.
func (e AgentEvent) Then(done func()) AgentEvent {
	e.done = done
	return e
}

// PeerMessage carries a message from another control replica.
type PeerMessage struct{ message peer.Message }

// NewPeerMessage returns the event for the arrival of m.
func NewPeerMessage(m peer.Message) PeerMessage { return PeerMessage{message: m} }

// Persisted reports that all log batches up to a sequence number are durable.
type Persisted struct{ sequence uint64 }

// NewPersisted returns the event for all batches up to and including sequence.
func NewPersisted(sequence uint64) Persisted { return Persisted{sequence: sequence} }

// SessionOpened reports that a daemon has opened a session, which only the leader accepts.
type SessionOpened struct {
	id      leader.SessionID
	session Session
}

// NewSessionOpened returns the event for the session s, which is identified by id.
func NewSessionOpened(id leader.SessionID, s Session) SessionOpened {
	return SessionOpened{id: id, session: s}
}

// SessionClosed reports that a session has ended.
type SessionClosed struct{ id leader.SessionID }

// NewSessionClosed returns the event for the session identified by id.
func NewSessionClosed(id leader.SessionID) SessionClosed { return SessionClosed{id: id} }

// LeaderEvent carries a daemon's request or report to the leader. It is discarded by replicas that do not
// lead.
type LeaderEvent struct{ inner leader.Event }

// NewLeaderEvent returns the event that passes e to the leader.
func NewLeaderEvent(e leader.Event) LeaderEvent { return LeaderEvent{inner: e} }

// Proposed proposes a configuration to the control group.
type Proposed struct {
	proposal logcmd.SetRules
	reply    func(ProposalResult)
}

// NewProposed returns the proposal p. reply is called once, from the control goroutine, and must
// not block.
func NewProposed(p logcmd.SetRules, reply func(ProposalResult)) Proposed {
	return Proposed{proposal: p, reply: reply}
}

// ZoneDrainProposed asks the group to drain a zone or to end its drain.
type ZoneDrainProposed struct {
	proposal logcmd.SetZoneDrain
	reply    func(ProposalResult)
}

// NewZoneDrainProposed returns the event for a proposal. reply is called once, from the control goroutine.
func NewZoneDrainProposed(p logcmd.SetZoneDrain, reply func(ProposalResult)) ZoneDrainProposed {
	return ZoneDrainProposed{proposal: p, reply: reply}
}

// SnapshotTaken carries the encoded fleet state after the log entry at an index.
type SnapshotTaken struct {
	index uint64
	data  []byte
}

// ReadRequested requests a linearizable read of the fleet state, with the rules in force.
type ReadRequested struct{ reply func(ReadResult) }

// NewReadRequested returns the read request. reply is called once, from the control goroutine, and
// must not block.
func NewReadRequested(reply func(ReadResult)) ReadRequested { return ReadRequested{reply: reply} }

// ReadResult is the result of a ReadRequested event: Confirmed or Unconfirmed.
type ReadResult interface{ readResult() }

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

// TransferRequested asks a leading replica to transfer leadership before the process stops.
type TransferRequested struct{}

func (AgentEvent) event()        {}
func (PeerMessage) event()       {}
func (Persisted) event()         {}
func (SessionOpened) event()     {}
func (SessionClosed) event()     {}
func (LeaderEvent) event()       {}
func (Proposed) event()          {}
func (ZoneDrainProposed) event() {}
func (SnapshotTaken) event()     {}
func (DiskFailed) event()        {}
func (TransferRequested) event() {}
func (ReadRequested) event()     {}

// ProposalResult is the result of a proposal: Decided or Undecided.
type ProposalResult interface{ proposalResult() }

// Decided proposals were committed and then accepted or rejected.
type Decided struct {
	verdict fleet.Verdict
	fleet   *fleet.State
}

// Verdict returns the decision on the configuration.
func (d Decided) Verdict() fleet.Verdict { return d.verdict }

// Fleet returns the state after the decision.
func (d Decided) Fleet() *fleet.State { return d.fleet }

// Undecided proposals may or may not be committed later. The same proposal can be made again.
type Undecided struct{ leader string }

// Leader returns the address of the replica to ask, "" if it is not known.
func (u Undecided) Leader() string { return u.leader }

func (Decided) proposalResult()   {}
func (Undecided) proposalResult() {}
