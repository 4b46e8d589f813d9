package raft

import "verbenabank/core/state/peer"

// Effect is an order of a Node to its caller, to be carried out in the order
// given: Send, Persist, Apply, Restore, Confirmed, Dropped, Became or Violated.
type Effect interface{ effect() }

func (Send) effect()              {}
func (Persist) effect()           {}
func (Apply) effect()             {}
func (Restore) effect()           {}
func (Confirmed) effect()         {}
func (Dropped) effect()           {}
func (RoleChanged) effect()       {}
func (InvariantViolated) effect() {}

// Send sends a message to the replica at an address. Loss is allowed.
type Send struct {
	address string
	message peer.Message
}

// Address returns where the receiver is reached, as "ip:port".
func (s Send) Address() string { return s.address }

// Message returns the message.
func (s Send) Message() peer.Message { return s.message }

// Persist makes a batch durable, after all batches before it. Once it is, the
// node is to get Persisted.
type Persist struct{ batch peer.Batch }

// Batch returns the batch.
func (p Persist) Batch() peer.Batch { return p.batch }

// Committed is a committed entry, with the token of its offer.
type Committed struct {
	entry peer.Entry
	token uint64
}

// Entry returns the entry.
func (c Committed) Entry() peer.Entry { return c.entry }

// Token returns the token of the offer, 0 if it was not offered to this leader
// in its present term.
func (c Committed) Token() uint64 { return c.token }

// Apply applies committed entries in order. Each entry is given once, but for a
// restart.
type Apply struct{ entries []Committed }

// Entries returns the entries, in order and without gaps.
func (a Apply) Entries() []Committed { return a.entries }

// Restore replaces the state by that of a snapshot.
type Restore struct{ snapshot peer.Snapshot }

// Snapshot returns the snapshot.
func (r Restore) Snapshot() peer.Snapshot { return r.snapshot }

// Confirmed says that this replica led at some instant after each of the
// questions.
type Confirmed struct{ tokens []uint64 }

// Tokens returns the tokens of the questions.
func (c Confirmed) Tokens() []uint64 { return c.tokens }

// Dropped says that offers or questions will not be answered. A dropped offer
// may still be committed.
type Dropped struct{ tokens []uint64 }

// Tokens returns the tokens of the offers and questions.
func (d Dropped) Tokens() []uint64 { return d.tokens }

// RoleChanged says that the replica took another role.
type RoleChanged struct {
	role Role
	term peer.Term
}

// Role returns the new role.
func (b RoleChanged) Role() Role { return b.role }

// Term returns the term of the role.
func (b RoleChanged) Term() peer.Term { return b.term }

// InvariantViolated says that an invariant does not hold. The process must stop: the node
// does nothing more.
type InvariantViolated struct{ err *Error }

// Err returns what does not hold.
func (v InvariantViolated) Err() *Error { return v.err }
