package disk

import (
	"errors"
	"fmt"
)

// errTooLarge is the cause for data that could not be read again.
var errTooLarge = errors.New("record is too large")

// Kind says what is wrong with a storage.
type Kind int

// Kinds of errors.
const (
	// Damaged storages hold bytes that a crash cannot explain.
	Damaged Kind = iota + 1
	// Locked storages are in use by another process.
	Locked
	// Failed operations were refused by the operating system.
	Failed
)

var advice = map[Kind]string{
	Damaged: "stored data is damaged; check the disk, and if the other replicas are whole move this data folder away " +
		"and start with an empty one, so that the replica joins anew",
	Locked: "another process uses the data folder; stop it first",
	Failed: "the operating system refused; check space, permissions and health of the disk, then restart",
}

// Error is a storage that cannot be used.
type Error struct {
	operation string
	kind      Kind
	path      string
	offset    int64
	cause     error
}

// Operation returns what was being done.
func (e *Error) Operation() string { return e.operation }

// Kind returns what is wrong.
func (e *Error) Kind() Kind { return e.kind }

// Path returns the file or folder.
func (e *Error) Path() string { return e.path }

// Offset returns where in the file the damage begins, in bytes.
func (e *Error) Offset() int64 { return e.offset }

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the message.
func (e *Error) Error() string {
	text := fmt.Sprintf("disk: %s %s: %s", e.operation, e.path, advice[e.kind])
	if e.kind == Damaged {
		text += fmt.Sprintf(" (at byte %d)", e.offset)
	}
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

func failed(operation, path string, cause error) *Error {
	return &Error{operation: operation, kind: Failed, path: path, cause: cause}
}

func damaged(operation, path string, offset int64, cause error) *Error {
	return &Error{operation: operation, kind: Damaged, path: path, offset: offset, cause: cause}
}
