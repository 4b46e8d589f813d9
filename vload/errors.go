package main

import "github.com/ansel1/merry/v2"

// Kind is why an experiment failed.
type Kind int

// Kinds of errors.
const (
	InvariantViolated Kind = iota + 1 // something happened that must never happen
	TooFewAnswers                     // less was answered than the experiment requires
)

// Error is the error of an experiment that ran but did not pass.
type Error struct {
	op   string
	kind Kind
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns why the experiment failed.
func (e *Error) Kind() Kind { return e.kind }

// Error returns the message.
func (e *Error) Error() string {
	switch e.kind {
	case InvariantViolated:
		return e.op + ": a promise was broken; see the last row of the report"
	case TooFewAnswers:
		return e.op + ": too few requests were answered; see the outcomes in the report"
	}
	return e.op
}

func fail(op string, kind Kind) error { return merry.Wrap(&Error{op: op, kind: kind}) }
