package remote

// Op is what was done when an Error came up.
type Op string

// OpAsk is the operation of Ask.
const OpAsk Op = "ask the daemon"

// Kind says what went wrong.
type Kind uint8

// Kinds of errors.
const (
	KindUnreachable Kind = iota // the daemon gave no whole answer
	KindRefused                 // the daemon refused to answer
	KindUnreadable              // the answer is not JSON
)

// String returns what the operator can do.
func (k Kind) String() string {
	switch k {
	case KindUnreachable:
		return "no whole answer; is the daemon up, and is this its admin address?"
	case KindRefused:
		return "the daemon refused to answer"
	case KindUnreadable:
		return "the answer is not JSON; is this its admin address?"
	}
	return ""
}

// Error is the error type of the package.
type Error struct {
	op    Op
	kind  Kind
	cause error
}

// Op returns what was done.
func (e *Error) Op() Op { return e.op }

// Kind returns what went wrong.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, what the operator can do, and the cause.
func (e *Error) Error() string {
	return string(e.op) + ": " + e.kind.String() + ": " + e.cause.Error()
}
