package peers

import "fmt"

// Kind classifies the errors of the package.
type Kind int

// Kinds of errors.
const (
	Malformed  Kind = iota + 1 // invalid protobuf encoding
	Missing                    // a required field is absent
	OutOfRange                 // a number is too large, or zero or not unique where that is not allowed
)

var kindTexts = map[Kind]string{
	Malformed:  "malformed",
	Missing:    "part is missing",
	OutOfRange: "number out of range",
}

// Error is a failure to decode or encode a message or record.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// Operation returns a verb and its object, such as "decode batch".
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the underlying error of protobuf, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, the kind and the cause. Without a cause the message is well-formed
// but has unexpected values, and the text says that the two releases may be incompatible.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("peers: %s: %s: %v", e.operation, kindTexts[e.kind], e.cause)
	}
	return fmt.Sprintf("peers: %s: %s; both ends must be of the same major release", e.operation, kindTexts[e.kind])
}
