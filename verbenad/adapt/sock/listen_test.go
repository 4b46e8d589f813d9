package sock

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// failingListener is a listener whose Accept returns the errors first and then connections.
type failingListener struct {
	net.Listener
	errors []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errors) == 0 {
		return f.Listener.Accept()
	}
	err := f.errors[0]
	f.errors = f.errors[1:]
	return nil, err
}

func newFailingListener(t *testing.T, errs ...error) (*listener, *test.Hook) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	log, hook := test.NewNullLogger()
	return newListener(&failingListener{Listener: l, errors: errs}, WithLog(logrus.NewEntry(log))), hook
}

func acceptError(e syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", e)}
}

// TestAcceptRetriesAfterTransientErrors guards against a daemon that exits because it cannot accept
// connections for a moment, for example with too many open files.
func TestAcceptRetriesAfterTransientErrors(t *testing.T) {
	is := is.New(t)
	l, hook := newFailingListener(t, acceptError(syscall.EMFILE), acceptError(syscall.ENFILE), acceptError(syscall.ECONNABORTED),
		acceptError(syscall.ENOBUFS), acceptError(syscall.ENOMEM), acceptError(syscall.ETIMEDOUT))
	go func() {
		if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
			_, _ = io.WriteString(c, "x")
			_ = c.Close()
		}
	}()
	c, err := l.Accept()
	is.NoErr(err)
	_, ok := c.(*net.TCPConn)
	is.True(ok)
	_ = c.Close()
	is.Equal(len(hook.AllEntries()), 1) // at most one line per logInterval
}

func TestAcceptFailsAfterPermanentErrorOrClose(t *testing.T) {
	is := is.New(t)
	l, hook := newFailingListener(t, acceptError(syscall.EBADF))
	_, err := l.Accept()
	is.True(err != nil)
	is.Equal(len(hook.AllEntries()), 0)
	many := make([]error, 1000)
	for n := range many {
		many[n] = acceptError(syscall.EMFILE)
	}
	l, _ = newFailingListener(t, many...)
	time.AfterFunc(20*time.Millisecond, func() { _ = l.Close() })
	_, err = l.Accept()
	is.True(err == net.ErrClosed)
}
