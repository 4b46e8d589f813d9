package auth

import "fmt"

// Kind is the reason of a failure, as text for operators.
type Kind string

// Reasons of failures.
const (
	BadFile       Kind = "the file cannot be read or is not valid"
	NoCertificate Kind = "the file contains no PEM certificate"
)

// Error is a failure to load the TLS files.
type Error struct {
	op    string
	kind  Kind
	cause error
}

// Op returns the operation, such as "load certificate".
func (e *Error) Op() string { return e.op }

// Kind returns the reason of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the underlying error or nil.
func (e *Error) Unwrap() error { return e.cause }

// Error joins the operation, the reason and the underlying error.
func (e *Error) Error() string { return fmt.Sprintf("trust: %s: %s: %v", e.op, e.kind, e.cause) }
