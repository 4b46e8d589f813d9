package raft

import "verbenabank/core/state/peer"

// Effect is an instruction from a Node to its caller. Effects are to be carried out in the order
// given: Send, Persist, Apply, Restore, Confirmed, Dropped, RoleChanged or InvariantViolated.
type Effect interface{ effect() }

func (Send) effect()              {}
func (Persist) effect()           {}
func (Apply) effect()             {}
func (Restore) effect()           {}
func (Confirmed) effect()         {}
func (Dropped) effect()           {}
func (RoleChanged) effect()       {}
func (InvariantViolated) effect() {}

// Send sends a message to the replica at an address. The message may be lost.
type Send struct {
	address string
	message peer.Message
}

// Address returns the receiver's address, as "ip:port".
func (s Send) Address() string { return s.address }

// Message returns the message to send.
func (s Send) Message() peer.Message { return s.message }

// Persist makes a batch durable, after all batches before it. When that is done, the node must get
// a Persisted event.
type Persist struct{ batch peer.Batch }

// Batch returns the batch to store, with its sequence number.
func (p Persist) Batch() peer.Batch { return p.batch }

// Committed is a committed entry, with the token of its proposal.
type Committed struct {
	entry peer.Entry
	token uint64
}

// Entry returns the entry, which is not always a command.
func (c Committed) Entry() peer.Entry { return c.entry }

// Token returns the token of the proposal, 0 if the entry was not proposed to this replica as the
// leader of the current term.
func (c Committed) Token() uint64 { return c.token }

// Apply applies committed entries in order. Each entry is emitted once per start of the process.
type Apply struct{ entries []Committed }

// Entries returns the entries, in order and without gaps.
func (a Apply) Entries() []Committed { return a.entries }

// Restore replaces the application state by that of a snapshot.
type Restore struct{ snapshot peer.Snapshot }

// Snapshot returns the snapshot to restore.
func (r Restore) Snapshot() peer.Snapshot { return r.snapshot }

// Confirmed means that this replica was the leader at some instant after each of the requests was
// made.
type Confirmed struct{ tokens []uint64 }

// Tokens returns the tokens of the confirmation requests.
func (c Confirmed) Tokens() []uint64 { return c.tokens }

// Dropped means that proposals or confirmation requests will not be answered. The entry of a dropped
// proposal may still be committed.
type Dropped struct{ tokens []uint64 }

// Tokens returns the tokens of the proposals and confirmation requests.
func (d Dropped) Tokens() []uint64 { return d.tokens }

// RoleChanged means that the replica changed its role.
type RoleChanged struct {
	role Role
	term peer.Term
}

// Role returns the new role.
func (r RoleChanged) Role() Role { return r.role }

// Term returns the term in which the replica has the role.
func (r RoleChanged) Term() peer.Term { return r.term }

// InvariantViolated means that an invariant does not hold. The process must stop: the node ignores all
// further events.
type InvariantViolated struct{ err *Error }

// Err returns which invariant was violated.
func (v InvariantViolated) Err() *Error { return v.err }
