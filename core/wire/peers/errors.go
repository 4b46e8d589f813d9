package peers

import "fmt"

// Kind says why bytes or a message were refused.
type Kind int

// Kinds of errors.
const (
	Malformed  Kind = iota + 1 // not an encoded message
	Missing                    // a part that must be there is not
	OutOfRange                 // a number is 0 or too great
)

var kinds = map[Kind]string{
	Malformed:  "malformed",
	Missing:    "part is missing",
	OutOfRange: "number out of range",
}

// Error is a refusal to decode, or a failure to encode.
type Error struct {
	operation string
	kind      Kind
	cause     error
}

// Operation returns what was being decoded or encoded.
func (e *Error) Operation() string { return e.operation }

// Kind returns why it failed.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the message.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("peers: %s: %s: %v", e.operation, kinds[e.kind], e.cause)
	}
	return fmt.Sprintf("peers: %s: %s; both ends must be of the same major release", e.operation, kinds[e.kind])
}
