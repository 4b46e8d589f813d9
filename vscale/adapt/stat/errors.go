package stat

import "fmt"

// Kind is why something could not be read.
type Kind string

// Kinds of errors.
const (
	Unreadable Kind = "the process cannot be observed; has it ended?"
)

// Error is something that could not be read.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// Operation returns what was being read.
func (e *Error) Operation() string { return e.operation }

// Kind returns why it could not be read.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("stat: %s: %s: %v", e.operation, e.kind, e.cause)
}

func fail(operation string, cause error) error {
	return &Error{operation: operation, kind: Unreadable, cause: cause}
}
