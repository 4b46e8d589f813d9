package confjs

import (
	"strings"

	"verbenabank/core/state/tree"
)

// Op is what was done when an Error came up.
type Op string

// The operations of the package.
const (
	OpParse Op = "parse configuration"
	OpCheck Op = "check configuration"
)

// Kind says what went wrong.
type Kind uint8

// Kinds of errors.
const (
	KindSyntax  Kind = iota // the text is not a JSON object
	KindInvalid             // the configuration has faults
)

// Error is the error type of the package.
type Error struct {
	op     Op
	kind   Kind
	faults []tree.Fault
}

// Op returns what was done.
func (e *Error) Op() Op { return e.op }

// Kind returns what went wrong.
func (e *Error) Kind() Kind { return e.kind }

// Faults returns everything wrong with the configuration.
func (e *Error) Faults() []tree.Fault { return e.faults }

// Error returns one line for each fault.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
