package size

import "fmt"

// Kind is why something could not be measured.
type Kind string

// Kinds of errors.
const (
	Unencodable Kind = "the state cannot be encoded and decoded"
)

// Error is something that could not be measured.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// Operation returns what was being done.
func (e *Error) Operation() string { return e.operation }

// Kind returns why it failed.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("size: %s: %s: %v", e.operation, e.kind, e.cause) }

func fail(operation string, cause error) error {
	return &Error{operation: operation, kind: Unencodable, cause: cause}
}
