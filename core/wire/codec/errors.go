package codec

import "fmt"

// Kind is what is wrong with a message.
type Kind string

// Kinds of errors.
const (
	Missing    Kind = "a part is missing"
	Unreadable Kind = "the content cannot be read"
	Mismatch   Kind = "the content does not fit its version or digest"
	OutOfRange Kind = "a value is out of range"
)

// Error is a message that could not be decoded.
type Error struct {
	op    string
	kind  Kind
	cause error
}

func fail(op string, k Kind, cause error) error { return &Error{op: op, kind: k, cause: cause} }

// Op returns what was being decoded.
func (e *Error) Op() string { return e.op }

// Kind returns what is wrong.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Error returns what was being decoded and what is wrong with it.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("codec: %s: %s: %v", e.op, e.kind, e.cause)
	}
	return fmt.Sprintf("codec: %s: %s", e.op, e.kind)
}
