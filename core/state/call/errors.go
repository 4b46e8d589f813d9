package call

import (
	"errors"

	"verbenabank/core/state/result"
)

// Error says why the body of an answer is not whole.
type Error struct {
	op   string
	kind result.Reason
}

// NewError returns the error of the operation op with the reason of the unknown
// outcome as its kind.
func NewError(op string, kind result.Reason) *Error { return &Error{op: op, kind: kind} }

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns the reason of the unknown outcome.
func (e *Error) Kind() result.Reason { return e.kind }

// Error returns operation and kind.
func (e *Error) Error() string { return e.op + ": answer is not whole: " + string(e.kind) }

// ReasonOf returns the kind of err if it is an *Error, else result.Interrupted.
func ReasonOf(err error) result.Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return result.Interrupted
}
