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
	// acceptRetryDelay is the pause after a transient accept error.
	acceptRetryDelay = 50 * time.Millisecond
	// logInterval is the least time between two log lines about accept errors.
	logInterval = time.Second
)

// acceptFailures counts transient accept errors.
var acceptFailures = expvar.NewInt("verbenad.accepts_failed")

// Option sets one property of a listener.
type Option func(*listener)

// WithLog sets the logger, by default logrus's standard one.
func WithLog(e *logrus.Entry) Option { return func(l *listener) { l.log = e } }

// Listen listens on a TCP address ("ip:port"). After transient errors, such as too many open files, the
// listener waits and tries again: its Accept fails only with permanent errors.
func Listen(address string, opts ...Option) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return newListener(l, opts...), nil
}

// listener retries Accept after transient errors until it is closed.
type listener struct {
	net.Listener
	log        *logrus.Entry
	lastLogged atomic.Int64 // time of the last log line in Unix nanoseconds
	once       sync.Once
	closed     chan struct{}
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

// Accept returns the next connection. It waits for as long as only transient errors occur.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !isTransient(err) {
			return c, err
		}
		l.reportFailure(err)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(acceptRetryDelay):
		}
	}
}

// Close closes the listener. Accept then fails, also while it waits after an error.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// reportFailure counts a transient accept error and logs it, at most once per logInterval.
func (l *listener) reportFailure(err error) {
	acceptFailures.Add(1)
	now, last := time.Now().UnixNano(), l.lastLogged.Load()
	if now-last >= int64(logInterval) && l.lastLogged.CompareAndSwap(last, now) {
		l.log.WithError(err).WithField("address", l.Addr().String()).Warn("sock: accept failed, retrying")
	}
}

// transientErrors are the errors of accept(2) that do not mean that the listening socket is broken:
// exhausted resources, connections that ended before they were accepted, and network errors.
var transientErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ETIMEDOUT,
	syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
}

// isTransient reports whether Accept may succeed when it is tried again.
func isTransient(err error) bool {
	for _, e := range transientErrors {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
