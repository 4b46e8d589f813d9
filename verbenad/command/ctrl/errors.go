package ctrl

import "fmt"

// Kind is the reason why the control goroutine stopped, with what it means for the process.
type Kind string

// Kinds of errors. All of them are fatal.
const (
	Storage     Kind = "the log store failed; the replica stops before it acknowledges anything that is not durable"
	Invariant   Kind = "an invariant is violated; the process stops rather than serve from an inconsistent state"
	Panicked    Kind = "a panic may have left the state partially updated; the process stops rather than use it"
	Undecodable Kind = "a log entry or snapshot cannot be decoded; all replicas must run the same release"
)

// Error is a fatal failure of the control goroutine, after which the process must end.
type Error struct {
	op    string
	kind  Kind
	cause error
}

// Op returns the operation that failed: run, append, replicate, apply or restore.
func (e *Error) Op() string { return e.op }

// Kind returns the reason for the failure.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ctrl: %s: %s: %v", e.op, e.kind, e.cause) }
