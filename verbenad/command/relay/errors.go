package relay

import "fmt"

// Kind is why a body could not be read whole.
type Kind string

// Kinds of errors.
const (
	Oversized Kind = "the body is over its limit"
	Short     Kind = "the body is shorter than announced"
	Abandoned Kind = "the attempt is over"
	Unread    Kind = "the caller's connection cannot be read"
)

// Error is a body of a request that could not be read whole.
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
		return fmt.Sprintf("relay: %s: %s", e.op, e.kind)
	}
	return fmt.Sprintf("relay: %s: %s: %v", e.op, e.kind, e.cause)
}

func unread(kind Kind, cause error) *Error {
	return &Error{op: "read request body", kind: kind, cause: cause}
}
