package serve

import "fmt"

// Kind is the reason why a daemon cannot start or keep running.
type Kind string

// Kinds of errors.
const (
	ListenFailed   Kind = "the address cannot be used; is another process listening there, and is it an address of this machine?"
	StorageFailed  Kind = "the data folder cannot be used"
	WatchFailed    Kind = "the configuration folder cannot be watched"
	ComponentEnded Kind = "a component of the daemon ended unexpectedly"
)

// Error says why a daemon cannot start or keep running.
type Error struct {
	op    string
	kind  Kind
	cause error
}

// Op returns the operation that failed, with the address or path it was for.
func (e *Error) Op() string { return e.op }

// Kind returns the reason of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("serve: %s: %s: %v", e.op, e.kind, e.cause) }
