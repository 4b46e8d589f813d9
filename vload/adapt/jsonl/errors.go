package jsonl

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Kind classifies an error. The zero value is no kind.
type Kind int

// The kinds of errors.
const (
	Unreadable Kind = iota + 1 // a ledger cannot be read
	Unwritable                 // a ledger cannot be written
)

// Error is the type of all errors that this package returns.
type Error struct {
	op    string
	kind  Kind
	cause error
}

// Op returns the operation that failed, as it begins the message.
func (e *Error) Op() string { return e.op }

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.op, e.cause) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

func fail(op string, kind Kind, cause error) error {
	return merry.Wrap(&Error{op: op, kind: kind, cause: cause})
}
