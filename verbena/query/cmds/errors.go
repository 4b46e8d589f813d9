package cmds

// Op is what was done when an Error came up.
type Op string

// OpParse is the operation that reads the command line.
const OpParse Op = "read the command line"

// Kind says what went wrong.
type Kind uint8

// Kinds of errors.
const (
	KindSyntax    Kind = iota // a flag has a wrong value
	KindNoCommand             // no command was given
	KindNoDaemon              // the command needs the address of a daemon
	KindNoSubject             // the story needs a request or a key
)

// String returns what the operator can do.
func (k Kind) String() string {
	switch k {
	case KindSyntax:
		return "see verbena --help"
	case KindNoCommand:
		return "a command is missing; see verbena --help"
	case KindNoSubject:
		return "give either --request ID or --key NUMBER"
	case KindNoDaemon:
		return "give the admin address of a daemon with --daemon IP:port"
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

// Unwrap returns the cause, if there is one.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, what the operator can do, and the cause.
func (e *Error) Error() string {
	text := string(e.op) + ": " + e.kind.String()
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}
