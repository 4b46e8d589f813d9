package heads

import "fmt"

// Kind is why a head is not sound.
type Kind string

// Kinds of Error.
const (
	OddStatus    Kind = "the status line has no status code"
	OddFieldName Kind = "the name of a header field is missing, or holds a blank, a control byte or another one that no name may have"
	BareNewline  Kind = "a line ends without a carriage return"
	TooLarge     Kind = "the head is larger than 16 KiB"

	TooManyInterim Kind = "more than 1000 interim responses"
)

// opCheck is the operation of all errors about the text of a head.
const opCheck = "check the head of a response"

// Error is returned for a head that is not sound: whatever it says is not to be used.
type Error struct {
	op   string
	kind Kind
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Kind returns why it failed.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("heads: %s: %s", e.op, e.kind) }
