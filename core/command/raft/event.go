package raft

import "verbenabank/core/state/peer"

// Event is an input to a Node: Started, Ticked, Received, Persisted, Proposed, ConfirmRequested,
// SnapshotTaken or TransferRequested.
type Event interface{ event() }

func (Started) event()           {}
func (Ticked) event()            {}
func (Received) event()          {}
func (Persisted) event()         {}
func (Proposed) event()          {}
func (ConfirmRequested) event()  {}
func (SnapshotTaken) event()     {}
func (TransferRequested) event() {}

// Started must be the first event of a node.
type Started struct{}

// Ticked means that the instant returned by Node.NextTick has been reached.
type Ticked struct{}

// Received carries a message from another replica.
type Received struct{ message peer.Message }

// NewReceived returns the event for the arrival of m.
func NewReceived(m peer.Message) Received { return Received{message: m} }

// Persisted means that all batches up to a sequence number are durable.
type Persisted struct{ sequence uint64 }

// NewPersisted returns the event for all batches up to and including sequence.
func NewPersisted(sequence uint64) Persisted { return Persisted{sequence: sequence} }

// Proposed asks the leader to append a command. The proposal is dropped by a replica that is not the
// leader, is handing over, or has too many uncommitted entries. The token comes back with the
// committed entry or in Dropped.
type Proposed struct {
	token   uint64
	command []byte
}

// NewProposed returns the proposal of an encoded command, which must not be changed afterwards. The
// token must not be 0 or shared with another proposal or confirmation request.
func NewProposed(token uint64, command []byte) Proposed {
	return Proposed{token: token, command: command}
}

// ConfirmRequested asks whether this replica is still the leader, as a read index does. The token
// comes back in Confirmed or in Dropped.
type ConfirmRequested struct{ token uint64 }

// NewConfirmRequested returns a confirmation request. The token must not be 0 or shared with another
// proposal or confirmation request.
func NewConfirmRequested(token uint64) ConfirmRequested { return ConfirmRequested{token: token} }

// SnapshotTaken carries the encoded application state after all entries up to an index, so that the
// log can be compacted up to there.
type SnapshotTaken struct {
	index peer.Index
	data  []byte
}

// NewSnapshotTaken returns the event with the state after the entry at i. data must not be changed
// afterwards.
func NewSnapshotTaken(i peer.Index, data []byte) SnapshotTaken {
	return SnapshotTaken{index: i, data: data}
}

// TransferRequested asks the leader to transfer leadership to the most up-to-date voter, before a planned
// stop. Proposals are dropped until the transfer succeeds or times out.
type TransferRequested struct{}
