package raft

import "fmt"

// Kind says which invariant does not hold.
type Kind int

// Kinds of errors.
const (
	CommittedLost Kind = iota + 1 // a committed entry would be cut off or is missing
	TermFell
	VoteChanged
	TwoLeaders
	StorageBroken // the stored log has gaps or ends before what was committed
)

var kinds = map[Kind]string{
	CommittedLost: "committed entry lost",
	TermFell:      "term fell",
	VoteChanged:   "vote changed within a term",
	TwoLeaders:    "two leaders in one term",
	StorageBroken: "stored log is broken",
}

// Error is an invariant that does not hold.
type Error struct {
	operation string
	kind      Kind
	detail    string
}

// Operation returns what the node was doing.
func (e *Error) Operation() string { return e.operation }

// Kind returns which invariant does not hold.
func (e *Error) Kind() Kind { return e.kind }

// Error returns the message.
func (e *Error) Error() string {
	return fmt.Sprintf("raft: %s: %s: %s; stop this replica and keep its data folder for inspection",
		e.operation, kinds[e.kind], e.detail)
}

// violate stops the node.
func (n *Node) violate(operation string, k Kind, format string, args ...any) {
	if n.failed != nil {
		return
	}
	n.failed = &Error{operation: operation, kind: k, detail: fmt.Sprintf(format, args...)}
}
