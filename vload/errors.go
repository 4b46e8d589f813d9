package main

import "github.com/ansel1/merry/v2"

// Kind classifies the failure of an experiment. The zero value is no kind.
type Kind int

// The kinds of errors.
const (
	InvariantViolated Kind = iota + 1 // an invariant of the system was violated
	TooFewAnswers                     // fewer requests were answered than the experiment requires
)

// Error reports an experiment that ran to its end but did not pass.
type Error struct {
	op   string
	kind Kind
}

// Op returns the operation that failed, as it begins the message.
func (e *Error) Op() string { return e.op }

// Kind returns the class of the failure.
func (e *Error) Kind() Kind { return e.kind }

// Error returns the operation and the part of the report that shows the failure.
func (e *Error) Error() string {
	switch e.kind {
	case InvariantViolated:
		return e.op + ": an invariant was violated; see the last row of the report"
	case TooFewAnswers:
		return e.op + ": too few requests were answered; see the outcomes in the report"
	}
	return e.op
}

func fail(op string, kind Kind) error { return merry.Wrap(&Error{op: op, kind: kind}) }
