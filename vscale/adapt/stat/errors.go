package stat

import "fmt"

// Kind classifies an Error.
type Kind string

// Error kinds.
const (
	Unreadable Kind = "the process cannot be observed; has it ended?"
)

// Error reports a failed operation of this package.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// Operation returns what was to be read, such as memory.
func (e *Error) Operation() string { return e.operation }

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause; it may be nil.
func (e *Error) Unwrap() error { return e.cause }

// Error joins the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("stat: %s: %s: %v", e.operation, e.kind, e.cause)
}

func fail(operation string, cause error) error {
	return &Error{operation: operation, kind: Unreadable, cause: cause}
}
