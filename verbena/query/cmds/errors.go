package cmds

// Op is the operation that failed.
type Op string

// OpParse is the parsing of the command line.
const OpParse Op = "read the command line"

// Kind classifies an Error.
type Kind uint8

// Error kinds.
const (
	KindSyntax         Kind = iota // a flag has an invalid value
	KindNoCommand                  // the command is missing
	KindNoDaemon                   // --daemon is missing or is no IP:port
	KindNoRequestOrKey             // neither or both of --request and --key, or --key is no number
)

// String returns the message for the operator: the problem or its remedy.
func (k Kind) String() string {
	switch k {
	case KindSyntax:
		return "see verbena --help"
	case KindNoCommand:
		return "a command is missing; see verbena --help"
	case KindNoRequestOrKey:
		return "give either --request ID or --key NUMBER"
	case KindNoDaemon:
		return "give the admin address of a daemon with --daemon IP:port"
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

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Error joins the operation, the message for the operator and the cause.
func (e *Error) Error() string {
	text := string(e.op) + ": " + e.kind.String()
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}
