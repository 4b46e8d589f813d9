package trial

import "fmt"

// Kind is why a trial cannot go on.
type Kind string

// Kinds of errors.
const (
	NotReady Kind = "the trial cannot begin"
	Refused  Kind = "the configuration was not accepted"
)

// Error ends a trial.
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
func (e *Error) Error() string {
	return fmt.Sprintf("trial: %s: %s: %v", e.operation, e.kind, e.cause)
}

func fail(operation string, k Kind, cause error) error {
	return &Error{operation: operation, kind: k, cause: cause}
}
