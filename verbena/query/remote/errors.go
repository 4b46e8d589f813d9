package remote

// Op is the operation that failed.
type Op string

// OpGet is a request to the admin API of a daemon.
const OpGet Op = "ask the daemon"

// Kind classifies an Error.
type Kind uint8

// Error kinds.
const (
	KindUnreachable Kind = iota // no complete response: connection failure, timeout or body above 64 MiB
	KindRefused                 // the status of the response is not 200
	KindUnreadable              // the response body is not JSON
)

// String returns the message for the operator: the problem or its remedy.
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

// Error reports a failed operation of this package.
type Error struct {
	op    Op
	kind  Kind
	cause error
}

// Op returns the operation that failed.
func (e *Error) Op() Op { return e.op }

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause; it is never nil.
func (e *Error) Unwrap() error { return e.cause }

// Error joins the operation, the message for the operator and the cause.
func (e *Error) Error() string {
	return string(e.op) + ": " + e.kind.String() + ": " + e.cause.Error()
}
