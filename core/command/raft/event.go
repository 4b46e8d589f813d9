package raft

import "verbenabank/core/state/peer"

// Event is an input of a Node: Started, Ticked, Received, Persisted, Offered,
// ConfirmAsked, Compacted or TransferAsked.
type Event interface{ event() }

func (Started) event()           {}
func (Ticked) event()            {}
func (Received) event()          {}
func (Persisted) event()         {}
func (Offered) event()           {}
func (ConfirmAsked) event()      {}
func (Compacted) event()         {}
func (TransferRequested) event() {}

// Started is the first event of a node.
type Started struct{}

// Ticked says that the instant of Node.Wake was reached.
type Ticked struct{}

// Received brings a message of another replica.
type Received struct{ message peer.Message }

// NewReceived returns the event that brings m.
func NewReceived(m peer.Message) Received { return Received{message: m} }

// Persisted says that all batches up to a sequence number are durable.
type Persisted struct{ sequence uint64 }

// NewPersisted returns the event for all batches up to sequence.
func NewPersisted(sequence uint64) Persisted { return Persisted{sequence: sequence} }

// Offered asks to append a command. It is dropped by a replica that does not
// lead, hands over, or has too many entries that are not committed. The token comes back with the committed
// entry or in Dropped.
type Offered struct {
	token   uint64
	command []byte
}

// NewProposed returns the offer of an encoded command, which must not be changed.
// The token is not 0 and is not used for another offer or question.
func NewProposed(token uint64, command []byte) Offered {
	return Offered{token: token, command: command}
}

// ConfirmAsked asks whether this replica still leads. The token comes back in
// Confirmed or in Dropped.
type ConfirmAsked struct{ token uint64 }

// NewConfirmRequested returns the question with a token, which is not 0 and not used
// for another offer or question.
func NewConfirmRequested(token uint64) ConfirmAsked { return ConfirmAsked{token: token} }

// Compacted brings the encoded state after all applied entries up to an index,
// so that the log can be cut there.
type Compacted struct {
	index peer.Index
	data  []byte
}

// NewSnapshotTaken returns the event with the state after the entry at i. data must
// not be changed.
func NewSnapshotTaken(i peer.Index, data []byte) Compacted { return Compacted{index: i, data: data} }

// TransferRequested asks a leader to hand over to the most caught-up voter before a
// planned stop. Offers are dropped until the handover is done or given up.
type TransferRequested struct{}
