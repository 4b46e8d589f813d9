// Package crash keeps panics of goroutines where they happen: each is logged with its stack and counted
// at once, and ends what its goroutine did.
package crash

import (
	"expvar"
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"
)

// panics counts panics that were caught.
var panics = expvar.NewInt("verbenad.panics")

// Kind is what a panic ended.
type Kind string

// Panicked is the kind of all errors.
const Panicked Kind = "a fault of the program, see the stack in the log"

// Error is a panic.
type Error struct {
	op    string
	value any
}

// Op returns what was being done.
func (e *Error) Op() string { return e.op }

// Kind returns what the panic ended.
func (*Error) Kind() Kind { return Panicked }

// Unwrap returns the value of the panic if it is an error.
func (e *Error) Unwrap() error {
	err, _ := e.value.(error)
	return err
}

// Error returns the operation and the value of the panic.
func (e *Error) Error() string { return fmt.Sprintf("crash: %s: %s: %v", e.op, Panicked, e.value) }

// Call calls f, which does op. It returns the error of f, or the panic that ended it as Catch does.
func Call(log *logrus.Entry, op string, f func() error) error {
	var err error
	if p := Catch(log, op, func() { err = f() }); p != nil {
		return p
	}
	return err
}

// Catch calls f, which does op. It returns the panic that ended it as an *Error, nil without one. A nil log
// is the standard one.
func Catch(log *logrus.Entry, op string, f func()) (err error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		err = &Error{op: op, value: v}
		panics.Add(1)
		if log == nil {
			log = logrus.NewEntry(logrus.StandardLogger())
		}
		log.WithError(err).WithField("stack", string(debug.Stack())).Error("crash: a goroutine panicked")
	}()
	f()
	return nil
}
