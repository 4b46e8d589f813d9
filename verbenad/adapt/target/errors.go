package target

import "fmt"

// Kind is why a request could not be sent whole.
type Kind string

// Kinds of errors.
const (
	ShortBody Kind = "the body is shorter than announced"
)

// Error is a request that could not be sent whole.
type Error struct {
	op   string
	kind Kind
}

// Op returns what was being done.
func (e *Error) Op() string { return e.op }

// Kind returns why it failed.
func (e *Error) Kind() Kind { return e.kind }

// Error returns the operation and the kind.
func (e *Error) Error() string { return fmt.Sprintf("target: %s: %s", e.op, e.kind) }
