package relay

import "fmt"

// Kind is the reason why a request body could not be read to its end.
type Kind string

// Kinds of Error.
const (
	Oversized    Kind = "request body exceeds the size limit"
	Incomplete   Kind = "request body ended before its announced length"
	AttemptEnded Kind = "the attempt that reads the request body has ended"
	ReadFailed   Kind = "reading from the caller's connection failed"
)

// Error is returned by the reader of a request body that could not be read to its end.
type Error struct {
	op    string
	kind  Kind
	cause error
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the reason of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the underlying error of the connection, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("relay: %s: %s", e.op, e.kind)
	}
	return fmt.Sprintf("relay: %s: %s: %v", e.op, e.kind, e.cause)
}

func newReadError(kind Kind, cause error) *Error {
	return &Error{op: "read request body", kind: kind, cause: cause}
}
