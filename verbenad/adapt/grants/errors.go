package grants

import "fmt"

// Kind is why a call or a response of the target is not valid.
type Kind string

// Kinds of Error.
const (
	BodyTooLarge Kind = "response body is larger than 64 KiB"
	OtherProcess Kind = "another process than the target listens at its address"
	Unidentified Kind = "the process at the address of the target did not say its name"
)

// Error is returned for a response that is not valid, so that the outcome of the call is unknown, and for a
// connection that is not known to lead to the target.
type Error struct {
	op    string
	kind  Kind
	cause error
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns why it failed.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Error implements error.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("keeper: %s: %s", e.op, e.kind)
	}
	return fmt.Sprintf("keeper: %s: %s: %s", e.op, e.kind, e.cause)
}
