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

// Local is an event of this daemon's agent.
type Local struct {
	inner agent.Event
	done  func()
}

// NewLocal returns the event for the agent.
func NewLocal(e agent.Event) Local { return Local{inner: e} }

// Then returns the event with a function that is called once the agent has taken it. It must
// not block.
func (e Local) Then(done func()) Local {
	e.done = done
	return e
}

// Peer brings a message of another control replica.
type Peer struct{ message peer.Message }

// NewPeer returns the event that brings m.
func NewPeer(m peer.Message) Peer { return Peer{message: m} }

// Synced says that batches up to a sequence number are durable.
type Synced struct{ sequence uint64 }

// NewSynced returns the event for all batches up to sequence.
func NewSynced(sequence uint64) Synced { return Synced{sequence: sequence} }

// Opened says that a daemon wants a session with the leader.
type Opened struct {
	session leader.SessionID
	outlet  Outlet
}

// NewOpened returns the event for a session whose orders go to outlet.
func NewOpened(s leader.SessionID, o Outlet) Opened { return Opened{session: s, outlet: o} }

// Closed says that a session ended.
type Closed struct{ session leader.SessionID }

// NewClosed returns the event for the session.
func NewClosed(s leader.SessionID) Closed { return Closed{session: s} }

// Asked brings what a daemon asks of the leader.
type Asked struct{ inner leader.Event }

// NewAsked returns the event for the leader.
func NewAsked(e leader.Event) Asked { return Asked{inner: e} }

// Offered brings a configuration to be decided.
type Offered struct {
	accept logcmd.SetRules
	answer func(Answer)
}

// NewOffered returns the offer; answer is called once, from the control goroutine,
// and must not block.
func NewOffered(a logcmd.SetRules, answer func(Answer)) Offered {
	return Offered{accept: a, answer: answer}
}

// Compacted brings the encoded state after the entry at an index.
type Compacted struct {
	index uint64
	data  []byte
}

// Consulted asks for the rules in force, confirmed by a quorum.
type Consulted struct{ answer func(Finding) }

// NewConsulted returns the question; answer is called once, from the control goroutine, and
// must not block.
func NewConsulted(answer func(Finding)) Consulted { return Consulted{answer: answer} }

// Finding is the answer to Consulted: Confirmed or Unconfirmed.
type Finding interface{ finding() }

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

// Handover asks a leader to hand over before a planned stop.
type Handover struct{}

func (Local) event()      {}
func (Peer) event()       {}
func (Synced) event()     {}
func (Opened) event()     {}
func (Closed) event()     {}
func (Asked) event()      {}
func (Offered) event()    {}
func (Compacted) event()  {}
func (DiskFailed) event() {}
func (Handover) event()   {}
func (Consulted) event()  {}

// Answer is what became of an offer: Judged or Undecided.
type Answer interface{ answer() }

// Judged offers were applied.
type Judged struct {
	verdict fleet.Verdict
	fleet   *fleet.State
}

// Verdict returns what became of the offer.
func (a Judged) Verdict() fleet.Verdict { return a.verdict }

// Fleet returns the state after the offer.
func (a Judged) Fleet() *fleet.State { return a.fleet }

// Undecided offers may or may not be applied later; the same offer can be made
// again.
type Undecided struct{ leader string }

// Leader returns the address of the replica to ask, "" if it is not known.
func (a Undecided) Leader() string { return a.leader }

func (Judged) answer()    {}
func (Undecided) answer() {}
