package jsonl

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Kind is what went wrong.
type Kind int

// Kinds of errors.
const (
	Unreadable Kind = iota + 1 // a ledger cannot be read
	Unwritable                 // a ledger cannot be written
)

// Error is the error of this package.
type Error struct {
	op    string
	kind  Kind
	cause error
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns what went wrong.
func (e *Error) Kind() Kind { return e.kind }

// Error returns the message.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.op, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

func fail(op string, kind Kind, cause error) error {
	return merry.Wrap(&Error{op: op, kind: kind, cause: cause})
}
