package codec

import "fmt"

// Kind classifies the errors of the package. Its value is the text in error messages.
type Kind string

// Kinds of errors. Malformed is also the kind of an encoding failure.
const (
	Missing    Kind = "a part is missing"
	Malformed  Kind = "the content cannot be read"
	Mismatch   Kind = "the content does not fit its version or digest"
	OutOfRange Kind = "a value is out of range"
)

// Error is a failure to decode or encode a message.
type Error struct {
	op    string
	kind  Kind
	cause error
}

func newError(op string, k Kind, cause error) error { return &Error{op: op, kind: k, cause: cause} }

// Op returns the name of the message or value that was decoded or encoded.
func (e *Error) Op() string { return e.op }

// Kind returns the kind of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the underlying error of the parser or of protobuf, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, the kind and the cause, if there is one.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("codec: %s: %s: %v", e.op, e.kind, e.cause)
	}
	return fmt.Sprintf("codec: %s: %s", e.op, e.kind)
}
