package disk

import (
	"errors"
	"fmt"
)

// errTooLarge rejects a record that recovery would refuse to read.
var errTooLarge = errors.New("record is larger than 1 GiB")

// Kind classifies errors by what the operator has to do.
type Kind int

// Kinds of errors.
const (
	// Corrupted means that stored files are missing or hold bytes that a crash during a write cannot explain.
	Corrupted Kind = iota + 1
	// Locked means that another process uses the data folder.
	Locked
	// Failed means that an operation on a file failed or a record could not be encoded.
	Failed
)

var advice = map[Kind]string{
	Corrupted: "stored data is damaged; check the disk, and if the other replicas are whole move this data folder away " +
		"and start with an empty one, so that the replica joins anew",
	Locked: "another process uses the data folder; stop it first",
	Failed: "the operating system refused; check space, permissions and health of the disk, then restart",
}

// Error is an error after which the storage cannot be used.
type Error struct {
	operation string
	kind      Kind
	path      string
	offset    int64
	cause     error
}

// Operation returns the failed operation as a verb, such as "read" or "sync".
func (e *Error) Operation() string { return e.operation }

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Path returns the file or folder that the operation was on.
func (e *Error) Path() string { return e.path }

// Offset returns the byte offset in the file at which the corruption begins. It is 0 for
// other kinds.
func (e *Error) Offset() int64 { return e.offset }

// Unwrap returns the cause. It is nil if a check of stored bytes failed.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, the path, advice for the operator and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("disk: %s %s: %s", e.operation, e.path, advice[e.kind])
	if e.kind == Corrupted {
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

func corrupted(operation, path string, offset int64, cause error) *Error {
	return &Error{operation: operation, kind: Corrupted, path: path, offset: offset, cause: cause}
}
