package ctrl

import (
	"verbenabank/core/command/agent"
	"verbenabank/core/command/leader"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/peer"
)

// Event is what the control goroutine reacts to: Local, Peer, Synced, Opened,
// Closed, Asked, Offered, Compacted, DiskFailed or Handover.
type Event interface{ event() }

// AgentEvent is an event of this daemon's agent.
type AgentEvent struct {
	inner agent.Event
	done  func()
}

// NewAgentEvent returns the event for the agent.
func NewAgentEvent(e agent.Event) AgentEvent { return AgentEvent{inner: e} }

// Then returns the event with a function that is called once the agent has taken it. It must
// not block.
func (e AgentEvent) Then(done func()) AgentEvent {
	e.done = done
	return e
}

// PeerMessage brings a message of another control replica.
type PeerMessage struct{ message peer.Message }

// NewPeerMessage returns the event that brings m.
func NewPeerMessage(m peer.Message) PeerMessage { return PeerMessage{message: m} }

// Persisted says that batches up to a sequence number are durable.
type Persisted struct{ sequence uint64 }

// NewPersisted returns the event for all batches up to sequence.
func NewPersisted(sequence uint64) Persisted { return Persisted{sequence: sequence} }

// SessionOpened says that a daemon wants a session with the leader.
type SessionOpened struct {
	session leader.SessionID
	outlet  Outlet
}

// NewSessionOpened returns the event for a session whose orders go to outlet.
func NewSessionOpened(s leader.SessionID, o Outlet) SessionOpened {
	return SessionOpened{session: s, outlet: o}
}

// SessionClosed says that a session ended.
type SessionClosed struct{ session leader.SessionID }

// NewSessionClosed returns the event for the session.
func NewSessionClosed(s leader.SessionID) SessionClosed { return SessionClosed{session: s} }

// LeaderEvent brings what a daemon asks of the leader.
type LeaderEvent struct{ inner leader.Event }

// NewLeaderEvent returns the event for the leader.
func NewLeaderEvent(e leader.Event) LeaderEvent { return LeaderEvent{inner: e} }

// Proposed brings a configuration to be decided.
type Proposed struct {
	accept logcmd.SetRules
	answer func(ProposalResult)
}

// NewProposed returns the offer; answer is called once, from the control goroutine,
// and must not block.
func NewProposed(a logcmd.SetRules, answer func(ProposalResult)) Proposed {
	return Proposed{accept: a, answer: answer}
}

// Compacted brings the encoded state after the entry at an index.
type Compacted struct {
	index uint64
	data  []byte
}

// ReadRequested asks for the rules in force, confirmed by a quorum.
type ReadRequested struct{ answer func(ReadResult) }

// NewReadRequested returns the question; answer is called once, from the control goroutine, and
// must not block.
func NewReadRequested(answer func(ReadResult)) ReadRequested { return ReadRequested{answer: answer} }

// ReadResult is the answer to Consulted: Confirmed or Unconfirmed.
type ReadResult interface{ finding() }

// Confirmed brings the state that was in force at some instant after the question.
type Confirmed struct{ fleet *fleet.State }

// Fleet returns the state.
func (c Confirmed) Fleet() *fleet.State { return c.fleet }

// Unconfirmed says that this replica does not lead.
type Unconfirmed struct{ leader string }

// Leader returns the address of the replica to ask, "" if it is not known.
func (u Unconfirmed) Leader() string { return u.leader }

func (Confirmed) finding()   {}
func (Unconfirmed) finding() {}

// DiskFailed says that the storage cannot go on.
type DiskFailed struct{ err error }

// NewDiskFailed returns the event with the cause.
func NewDiskFailed(err error) DiskFailed { return DiskFailed{err: err} }

// TransferRequested asks a leader to hand over before a planned stop.
type TransferRequested struct{}

func (AgentEvent) event()        {}
func (PeerMessage) event()       {}
func (Persisted) event()         {}
func (SessionOpened) event()     {}
func (SessionClosed) event()     {}
func (LeaderEvent) event()       {}
func (Proposed) event()          {}
func (Compacted) event()         {}
func (DiskFailed) event()        {}
func (TransferRequested) event() {}
func (ReadRequested) event()     {}

// ProposalResult is what became of an offer: Judged or Undecided.
type ProposalResult interface{ answer() }

// Decided offers were applied.
type Decided struct {
	verdict fleet.Verdict
	fleet   *fleet.State
}

// Verdict returns what became of the offer.
func (a Decided) Verdict() fleet.Verdict { return a.verdict }

// Fleet returns the state after the offer.
func (a Decided) Fleet() *fleet.State { return a.fleet }

// Undecided offers may or may not be applied later; the same offer can be made
// again.
type Undecided struct{ leader string }

// Leader returns the address of the replica to ask, "" if it is not known.
func (a Undecided) Leader() string { return a.leader }

func (Decided) answer()   {}
func (Undecided) answer() {}
