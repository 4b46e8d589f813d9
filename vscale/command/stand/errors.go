package stand

import "fmt"

// Kind is why a stand-in did not come to a state.
type Kind string

// Kinds of errors.
const (
	TooLate Kind = "the daemon did not get there in time; see the logs of the replicas"
)

// Error is a state that a stand-in did not come to.
type Error struct {
	operation string
	kind      Kind
	instance  string
}

// Operation returns what was waited for.
func (e *Error) Operation() string { return e.operation }

// Kind returns why it did not come.
func (e *Error) Kind() Kind { return e.kind }

// Instance returns the stand-in.
func (e *Error) Instance() string { return e.instance }

// Error returns the operation, the instance and the kind.
func (e *Error) Error() string {
	return fmt.Sprintf("stand: %s of %s: %s", e.operation, e.instance, e.kind)
}
