package call

import (
	"errors"

	"verbenabank/core/state/result"
)

// Error is why the body of a response is incomplete.
type Error struct {
	op   string
	kind result.Reason
}

// NewError returns the error of the operation op. kind is the reason for which the outcome of
// the request is unknown.
func NewError(op string, kind result.Reason) *Error { return &Error{op: op, kind: kind} }

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the reason for which the outcome of the request is unknown.
func (e *Error) Kind() result.Reason { return e.kind }

// Error returns the operation and the kind as one line of text.
func (e *Error) Error() string { return e.op + ": incomplete response: " + string(e.kind) }

// ReasonOf returns the kind of the *Error that err is or wraps, or result.Interrupted if there
// is none.
func ReasonOf(err error) result.Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return result.Interrupted
}
