package auth

import "fmt"

// Kind is why trust could not be set up.
type Kind string

// Kinds of errors.
const (
	BadFile       Kind = "the file cannot be read"
	NoCertificate Kind = "the file holds no certificate in PEM form"
)

// Error is a failure to set up trust.
type Error struct {
	op    string
	kind  Kind
	cause error
}

// Op returns what was being done.
func (e *Error) Op() string { return e.op }

// Kind returns why it failed.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("trust: %s: %s: %v", e.op, e.kind, e.cause) }
