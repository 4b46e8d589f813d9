package fake

import "fmt"

// Kind classifies an Error.
type Kind string

// Error kinds.
const (
	TimedOut Kind = "timed out; see the logs of the replicas"
)

// Error reports a failed operation of this package.
type Error struct {
	operation string
	kind      Kind
	instance  string
}

// Operation returns the state that was waited for: lease, rules or grants.
func (e *Error) Operation() string { return e.operation }

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Instance returns the instance of the stand-in daemon.
func (e *Error) Instance() string { return e.instance }

// Error joins the instance, the operation and the kind.
func (e *Error) Error() string {
	return fmt.Sprintf("fake: %s: %s: %s", e.instance, e.operation, e.kind)
}
