package serve

import "fmt"

// Kind is why a daemon cannot start or go on.
type Kind string

// Kinds of errors.
const (
	PortTaken Kind = "the address cannot be used; is another process listening there, and is it an address of this machine?"
	BadData   Kind = "the data folder cannot be used"
	BadFolder Kind = "the configuration folder cannot be watched"
	Ended     Kind = "a part of the daemon ended"
)

// Error is a daemon that cannot start or go on.
type Error struct {
	op    string
	kind  Kind
	cause error
}

// Op returns what was being done.
func (e *Error) Op() string { return e.op }

// Kind returns why it failed.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("serve: %s: %s: %v", e.op, e.kind, e.cause) }
