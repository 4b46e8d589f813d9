package folder

import (
	"errors"
	"io/fs"

	"github.com/ansel1/merry/v2"
)

// Op is the operation that failed, as the error message names it.
type Op string

// Operations of the package.
const (
	OpStart Op = "start watching"
	OpWatch Op = "watch folder"
)

// Kind classifies errors by what the operator has to do.
type Kind uint8

// Kinds of errors.
const (
	KindNoPath       Kind = iota // WithPath is missing or empty
	KindNotifyFailed             // inotify cannot be used or failed
	KindUnreadable               // the folder or its metadata cannot be read
)

// String returns the problem and what the operator can do about it.
func (k Kind) String() string {
	switch k {
	case KindNoPath:
		return "the path of the folder is empty; set configuration_folder"
	case KindNotifyFailed:
		return "the system does not report file changes; raise fs.inotify.max_user_instances or max_user_watches"
	case KindUnreadable:
		return "the folder cannot be read; create it or correct its permissions"
	}
	return ""
}

// Error is an error that New returns or that the watcher logs.
type Error struct {
	op    Op
	kind  Kind
	cause error
}

// Op returns the operation that failed.
func (e *Error) Op() Op { return e.op }

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause, nil for KindNoPath.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, the text of the kind, and the cause.
func (e *Error) Error() string {
	text := string(e.op) + ": " + e.kind.String()
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// unreadable returns the error of a folder that cannot be read. It leaves out the
// name of the system call, so that repeated failures have the same text and are
// logged once.
func unreadable(err error) *Error {
	var e *fs.PathError
	if errors.As(err, &e) {
		err = e.Err
	}
	return &Error{op: OpWatch, kind: KindUnreadable, cause: merry.Wrap(err)}
}
