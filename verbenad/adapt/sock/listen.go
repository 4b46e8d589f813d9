package sock

import (
	"context"
	"errors"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// acceptPause is the pause after a connection that could not be accepted.
	acceptPause = 50 * time.Millisecond
	// sayEvery is the least pause between two log lines about such connections.
	sayEvery = time.Second
)

// failed counts connections that could not be accepted at once.
var failed = expvar.NewInt("verbenad.accepts_failed")

// Option sets one property of a listener.
type Option func(*listener)

// WithLog sets the log.
func WithLog(e *logrus.Entry) Option { return func(l *listener) { l.log = e } }

// Listen listens on a TCP address ("ip:port"). While connections cannot be accepted for a cause that
// passes, such as too many open files, the listener waits and tries again: its Accept fails only for
// good.
func Listen(address string, opts ...Option) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: watch, Control: control}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return newListener(l, opts...), nil
}

// listener accepts connections until it is closed.
type listener struct {
	net.Listener
	log    *logrus.Entry
	said   atomic.Int64 // when a line was logged, as UnixNano
	once   sync.Once
	closed chan struct{}
}

func newListener(l net.Listener, opts ...Option) *listener {
	x := &listener{
		Listener: l, log: logrus.NewEntry(logrus.StandardLogger()), closed: make(chan struct{}),
	}
	for _, o := range opts {
		o(x)
	}
	return x
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !passes(err) {
			return c, err
		}
		l.say(err)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(acceptPause):
		}
	}
}

// Close ends Accept.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// say counts a connection that could not be accepted, and logs one at times.
func (l *listener) say(err error) {
	failed.Add(1)
	now, last := time.Now().UnixNano(), l.said.Load()
	if now-last >= int64(sayEvery) && l.said.CompareAndSwap(last, now) {
		l.log.WithError(err).WithField("address", l.Addr().String()).Warn("sock: no connection can be accepted, trying again")
	}
}

// passing are the errors of accept that say nothing about the listening socket.
var passing = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ETIMEDOUT,
	syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
}

// passes reports whether connections may be accepted again after the error.
func passes(err error) bool {
	for _, e := range passing {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
