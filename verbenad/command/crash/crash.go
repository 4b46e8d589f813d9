// Package crash recovers from panics: each is logged with its stack trace, counted, and returned as an
// error of the operation that panicked, so that the process goes on.
package crash

import (
	"expvar"
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"
)

// panicCount is the number of recovered panics.
var panicCount = expvar.NewInt("verbenad.panics")

// Kind classifies the errors of this package.
type Kind string

// Panicked is the only kind.
const Panicked Kind = "a fault of the program, see the stack in the log"

// Error is a recovered panic.
type Error struct {
	op    string
	value any
}

// Op returns the operation that panicked.
func (e *Error) Op() string { return e.op }

// Kind returns Panicked.
func (*Error) Kind() Kind { return Panicked }

// Unwrap returns the value of the panic if it is an error, else nil.
func (e *Error) Unwrap() error {
	err, _ := e.value.(error)
	return err
}

// Error returns the operation and the value of the panic.
func (e *Error) Error() string { return fmt.Sprintf("crash: %s: %s: %v", e.op, Panicked, e.value) }

// Call calls f and returns its error or, like Catch, its panic. op names what f does.
func Call(log *logrus.Entry, op string, f func() error) error {
	var err error
	if p := Catch(log, op, func() { err = f() }); p != nil {
		return p
	}
	return err
}

// Catch calls f and recovers from a panic in it, which it logs, counts and returns as an *Error. It returns
// nil if f returns normally. op names what f does; a nil log stands for the standard logger.
func Catch(log *logrus.Entry, op string, f func()) (err error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		err = &Error{op: op, value: v}
		panicCount.Add(1)
		if log == nil {
			log = logrus.NewEntry(logrus.StandardLogger())
		}
		log.WithError(err).WithField("stack", string(debug.Stack())).Error("crash: a goroutine panicked")
	}()
	f()
	return nil
}
