package raft

import "fmt"

// Kind identifies the invariant that was violated.
type Kind int

// Kinds of violations.
const (
	CommittedLost Kind = iota + 1 // a committed entry would be truncated or is missing
	TermDecreased
	VoteChanged
	TwoLeaders
	StorageCorrupt // the stored log has gaps or ends before the commit index
)

var kindNames = map[Kind]string{
	CommittedLost:  "committed entry lost",
	TermDecreased:  "term decreased",
	VoteChanged:    "vote changed within a term",
	TwoLeaders:     "two leaders in one term",
	StorageCorrupt: "stored log is inconsistent",
}

// Error describes a violated invariant.
type Error struct {
	operation string
	kind      Kind
	detail    string
}

// Operation returns what the node was doing when it found the violation.
func (e *Error) Operation() string { return e.operation }

// Kind returns the invariant that was violated.
func (e *Error) Kind() Kind { return e.kind }

// Error names the violation and what the operator has to do.
func (e *Error) Error() string {
	return fmt.Sprintf("raft: %s: %s: %s; stop this replica and keep its data folder for inspection",
		e.operation, kindNames[e.kind], e.detail)
}

// reportViolation records a violated invariant, the first one only. The node does nothing after it.
func (n *Node) reportViolation(operation string, k Kind, format string, args ...any) {
	if n.failed != nil {
		return
	}
	n.failed = &Error{operation: operation, kind: k, detail: fmt.Sprintf(format, args...)}
}
