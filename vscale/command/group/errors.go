package group

import "fmt"

// Kind is why the group cannot be used.
type Kind string

// Kinds of errors.
const (
	NotStarted Kind = "the replicas cannot be started; is verbenad built and are the addresses free?"
	NoLeader   Kind = "no replica leads; see the logs in the folder"
	Unreadable Kind = "the folder of a replica cannot be read"
)

// Error is a group that cannot be used.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// Operation returns what was being done.
func (e *Error) Operation() string { return e.operation }

// Kind returns why it failed.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("group: %s: %s", e.operation, e.kind)
	}
	return fmt.Sprintf("group: %s: %s: %v", e.operation, e.kind, e.cause)
}

func fail(operation string, k Kind, cause error) error {
	return &Error{operation: operation, kind: k, cause: cause}
}
