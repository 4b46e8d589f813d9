package micro

import "fmt"

// Kind classifies an Error.
type Kind string

// Error kinds.
const (
	Unencodable Kind = "the state cannot be encoded and decoded"
)

// Error reports a failed operation of this package.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error joins the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("micro: %s: %s: %v", e.operation, e.kind, e.cause) }

func fail(operation string, cause error) error {
	return &Error{operation: operation, kind: Unencodable, cause: cause}
}
