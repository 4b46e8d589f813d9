package grants

import "fmt"

// Kind is why an answer to an order counts as none.
type Kind string

// Kinds of errors.
const (
	Endless Kind = "the body is too long to be one"
)

// Error is an answer to an order that counts as none.
type Error struct {
	op   string
	kind Kind
}

// Op returns what was being done.
func (e *Error) Op() string { return e.op }

// Kind returns why it failed.
func (e *Error) Kind() Kind { return e.kind }

// Error returns the operation and the kind.
func (e *Error) Error() string { return fmt.Sprintf("keeper: %s: %s", e.op, e.kind) }
