package confd

import (
	"strings"

	"verbenabank/core/state/tree"
)

// Op is the operation that failed.
type Op string

// The operations of the package.
const (
	OpRead  Op = "read configuration folder"
	OpCheck Op = "check configuration folder"
)

// Kind classifies the errors of the package.
type Kind uint8

// Kinds of errors.
const (
	KindUnreadable Kind = iota // the folder cannot be read
	KindEmpty                  // the folder has no configuration file
	KindInvalid                // the files have faults, or are too many
)

// Error is the failure to read a configuration folder.
type Error struct {
	op     Op
	kind   Kind
	faults []tree.Fault
	cause  error
}

// Op returns the operation that failed.
func (e *Error) Op() Op { return e.op }

// Kind returns the kind of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Faults returns the faults in the files. There are none if the folder itself is the problem.
func (e *Error) Faults() []tree.Fault { return e.faults }

// Unwrap returns the cause, nil if the files have faults.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation with its cause, or the faults, one per line.
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
