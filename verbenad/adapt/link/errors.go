package link

import "fmt"

// Kind is the reason of a failure, as text for operators.
type Kind string

// Reasons of failures.
const (
	Unreachable    Kind = "the process cannot be reached"
	InvalidMessage Kind = "the message cannot be read"
	NotLeader      Kind = "the replica does not lead"
	Undecided      Kind = "no leader decided in time; the same offer can be made again"
)

// Error is a failed call or stream to another process.
type Error struct {
	op    string
	kind  Kind
	cause error
}

// Op returns the operation, such as "offer" or "dial 10.0.0.1:7500".
func (e *Error) Op() string { return e.op }

// Kind returns the reason of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the underlying error or nil.
func (e *Error) Unwrap() error { return e.cause }

// Error joins the operation, the reason and, if there is one, the underlying error.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("link: %s: %s", e.op, e.kind)
	}
	return fmt.Sprintf("link: %s: %s: %v", e.op, e.kind, e.cause)
}
