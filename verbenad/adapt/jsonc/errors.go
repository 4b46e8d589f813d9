package jsonc

import (
	"strings"

	"verbenabank/core/state/tree"
)

// Op is the operation that failed, as the error message names it.
type Op string

// OpLoad is the operation of Load, Read and Parse.
const OpLoad Op = "load settings"

// Kind classifies errors.
type Kind uint8

// Kinds of errors.
const (
	KindUnreadable Kind = iota // the settings file cannot be read
	KindInvalid                // the settings file has syntax errors or invalid values
)

// Error is an error of Load, Read or Parse.
type Error struct {
	op     Op
	kind   Kind
	faults []tree.Fault
	cause  error
}

// Op returns the operation that failed.
func (e *Error) Op() Op { return e.op }

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Faults returns all faults of the settings file. It is empty for KindUnreadable.
func (e *Error) Faults() []tree.Fault { return e.faults }

// Unwrap returns the cause, nil for KindInvalid.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the cause or one line for each fault.
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
