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

// failing is a listener whose Accept returns errors before connections.
type failing struct {
	net.Listener
	errors []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errors) == 0 {
		return f.Listener.Accept()
	}
	err := f.errors[0]
	f.errors = f.errors[1:]
	return nil, err
}

func fails(t *testing.T, errs ...error) (*listener, *test.Hook) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	log, hook := test.NewNullLogger()
	return newListener(&failing{Listener: l, errors: errs}, WithLog(logrus.NewEntry(log))), hook
}

func refusal(e syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", e)}
}

// TestTooManyOpenFilesEndNoListener guards against a daemon that ended since for a moment no connection
// could be accepted.
func TestTooManyOpenFilesEndNoListener(t *testing.T) {
	is := is.New(t)
	l, hook := fails(t, refusal(syscall.EMFILE), refusal(syscall.ENFILE), refusal(syscall.ECONNABORTED),
		refusal(syscall.ENOBUFS), refusal(syscall.ENOMEM), refusal(syscall.ETIMEDOUT))
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
	is.Equal(len(hook.AllEntries()), 1) // one line for all of them
}

func TestAcceptEndsForGood(t *testing.T) {
	is := is.New(t)
	l, hook := fails(t, refusal(syscall.EBADF))
	_, err := l.Accept()
	is.True(err != nil)
	is.Equal(len(hook.AllEntries()), 0)
	many := make([]error, 1000)
	for n := range many {
		many[n] = refusal(syscall.EMFILE)
	}
	l, _ = fails(t, many...)
	time.AfterFunc(20*time.Millisecond, func() { _ = l.Close() })
	_, err = l.Accept()
	is.True(err == net.ErrClosed)
}
