package confjs

import (
	"strings"

	"verbenabank/core/state/tree"
)

// Op is the operation that failed.
type Op string

// The operations of the package.
const (
	OpParse Op = "parse configuration"
	OpCheck Op = "check configuration"
)

// Kind classifies the errors of the package.
type Kind uint8

// Kinds of errors.
const (
	KindSyntax  Kind = iota // the content is not a JSON object
	KindInvalid             // a field is missing, unknown or invalid
)

// Error is the failure to decode a configuration.
type Error struct {
	op     Op
	kind   Kind
	faults []tree.Fault
}

// Op returns the operation that failed.
func (e *Error) Op() Op { return e.op }

// Kind returns the kind of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Faults returns all faults of the configuration, at least one.
func (e *Error) Faults() []tree.Fault { return e.faults }

// Error returns the faults, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
