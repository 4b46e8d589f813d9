package grants

import "fmt"

// Kind is why a response of the target is not valid.
type Kind string

// Kinds of Error.
const (
	BodyTooLarge Kind = "response body is larger than 64 KiB"
)

// Error is returned for a response that is not valid, so that the outcome of the call is unknown.
type Error struct {
	op   string
	kind Kind
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns why it failed.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("keeper: %s: %s", e.op, e.kind) }
