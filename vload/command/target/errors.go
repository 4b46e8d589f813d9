package target

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Kind classifies an Error.
type Kind int

// Values of Kind.
const (
	NotListening Kind = iota + 1 // the address cannot be listened on
	NotServing                   // the HTTP server stopped with an error
)

// Error is the error type of this package.
type Error struct {
	op    string
	kind  Kind
	cause error
}

// Op returns the operation that failed, as it stands in the message.
func (e *Error) Op() string { return e.op }

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error returns "op: cause".
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.op, e.cause) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

func fail(op string, kind Kind, cause error) error {
	return merry.Wrap(&Error{op: op, kind: kind, cause: cause})
}
