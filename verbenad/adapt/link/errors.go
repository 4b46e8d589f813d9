package link

import "fmt"

// Kind is why a link failed.
type Kind string

// Kinds of errors.
const (
	Unreachable Kind = "the process cannot be reached"
	Stranger    Kind = "the message cannot be read"
	Elsewhere   Kind = "the replica does not lead"
	Undecided   Kind = "no leader decided in time; the same offer can be made again"
)

// Error is a failure of a link.
type Error struct {
	op    string
	kind  Kind
	cause error
}

// Op returns what was being done.
func (e *Error) Op() string { return e.op }

// Kind returns why it failed.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("link: %s: %s", e.op, e.kind)
	}
	return fmt.Sprintf("link: %s: %s: %v", e.op, e.kind, e.cause)
}
