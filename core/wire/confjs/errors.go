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

// Error is the error type of the package. Its kind is always a faulty
// configuration, with every fault that was found.
type Error struct {
	op     Op
	faults []tree.Fault
}

// NewError returns the error of an operation that found faults.
func NewError(op Op, faults ...tree.Fault) *Error { return &Error{op: op, faults: faults} }

// Op returns what was done.
func (e *Error) Op() Op { return e.op }

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
