package folder

import (
	"errors"
	"io/fs"

	"github.com/ansel1/merry/v2"
)

// Op is what was done when an Error came up.
type Op string

// The operations of the package.
const (
	OpStart Op = "start watching"
	OpWatch Op = "watch folder"
)

// Kind says what went wrong.
type Kind uint8

// Kinds of errors.
const (
	KindNoPath Kind = iota // no folder was given
	KindNotify             // the system reports no changes
	KindGone               // the folder cannot be read
)

// String returns what the operator can do.
func (k Kind) String() string {
	switch k {
	case KindNoPath:
		return "the path of the folder is empty; set configuration_folder"
	case KindNotify:
		return "the system reports no changes; raise fs.inotify.max_user_instances or max_user_watches"
	case KindGone:
		return "the folder cannot be read; create it or correct its permissions"
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

// gone returns the error of a folder that cannot be read, with the same text
// whichever call found it out.
func gone(err error) *Error {
	var e *fs.PathError
	if errors.As(err, &e) {
		err = e.Err
	}
	return &Error{op: OpWatch, kind: KindGone, cause: merry.Wrap(err)}
}
