package target

import "fmt"

// Kind is why a request could not be sent completely.
type Kind string

// Kinds of Error.
const (
	ShortBody Kind = "request body is shorter than its content length"
)

// Error is returned for a request that could not be sent completely.
type Error struct {
	op   string
	kind Kind
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns why it failed.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("target: %s: %s", e.op, e.kind) }
