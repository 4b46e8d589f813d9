package ctrl

import "fmt"

// Kind is why the control goroutine cannot go on.
type Kind string

// Kinds of errors.
const (
	Storage   Kind = "the storage failed; the replica stops before it says anything that is not durable"
	Invariant Kind = "an invariant does not hold; the process stops rather than serve"
	Panicked  Kind = "the state may be half changed; the process stops rather than go on with it"
	BadEntry  Kind = "an entry of the log cannot be read; all replicas must run the same release"
)

// Error ends the process.
type Error struct {
	op    string
	kind  Kind
	cause error
}

// Op returns what was being done.
func (e *Error) Op() string { return e.op }

// Kind returns why the process cannot go on.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ctrl: %s: %s: %v", e.op, e.kind, e.cause) }
