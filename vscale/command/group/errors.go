package group

import "fmt"

// Kind classifies an Error.
type Kind string

// Error kinds.
const (
	NotStarted Kind = "the replicas cannot be started; is verbenad built and are the addresses free?"
	NoLeader   Kind = "no replica became leader; see the logs in the folder"
	Unreadable Kind = "the data folder of a replica cannot be read"
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

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Error joins the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("group: %s: %s", e.operation, e.kind)
	}
	return fmt.Sprintf("group: %s: %s: %v", e.operation, e.kind, e.cause)
}

func fail(operation string, k Kind, cause error) error {
	return &Error{operation: operation, kind: k, cause: cause}
}
