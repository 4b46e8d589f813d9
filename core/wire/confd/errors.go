package confd

import (
	"strings"

	"verbenabank/core/state/tree"
)

// Op is what was done when an Error came up.
type Op string

// The operations of the package.
const (
	OpRead  Op = "read configuration folder"
	OpCheck Op = "check configuration folder"
)

// Kind says what went wrong.
type Kind uint8

// Kinds of errors.
const (
	KindUnreadable Kind = iota // the folder cannot be read
	KindEmpty                  // no file belongs to the configuration
	KindInvalid                // the files have faults
)

// Error is the error type of the package.
type Error struct {
	op     Op
	kind   Kind
	faults []tree.Fault
	cause  error
}

// Op returns what was done.
func (e *Error) Op() Op { return e.op }

// Kind returns what went wrong.
func (e *Error) Kind() Kind { return e.kind }

// Faults returns everything wrong with the files.
func (e *Error) Faults() []tree.Fault { return e.faults }

// Unwrap returns the cause, if there is one.
func (e *Error) Unwrap() error { return e.cause }

// Error returns one line for each fault.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.faults)+1)
	if e.cause != nil {
		lines = append(lines, string(e.op)+": "+e.cause.Error())
	}
	for _, f := range e.faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
