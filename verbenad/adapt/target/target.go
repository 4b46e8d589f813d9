// Package target is the HTTP/1.1 client for requests to the target on the same instance. A connection
// carries one request at a time.
//
// It uses the codec of fasthttp, but not its HostClient, which resends a request on its own when a
// kept-alive connection breaks, cannot be cancelled, and does not tell whether a byte was written. Here
// a failure proves that the request did not run only if the dial failed or no byte left the daemon, and
// a connection is reused only after a complete exchange.
package target

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
)

const (
	// DefaultDialTimeout is the default time-out for connecting to the target.
	DefaultDialTimeout = 250 * time.Millisecond
	// DefaultIdleTimeout is the default time after which an idle connection is closed.
	DefaultIdleTimeout = 10 * time.Second
	// DefaultLinger is the default time a target has to end a cancelled request.
	DefaultLinger = 1 * time.Second
	// bufferBytes is the size of the buffers of a connection; a response header must fit into
	// one.
	bufferBytes = 16 << 10
	// maxLingerBytes is how much is read of the response to a cancelled request.
	maxLingerBytes = 8 << 20
	// sweepInterval is how often idle connections are checked.
	sweepInterval = 1 * time.Second
)

// Target is a client of the target on the same instance. It is safe for concurrent use.
type Target struct {
	dial          func(ctx context.Context, address string) (net.Conn, error)
	dialTimeout   time.Duration
	idleTimeout   time.Duration
	lingerTimeout time.Duration
	onConnRefused func()
	group         conc.WaitGroup

	mu             sync.Mutex
	address        string
	idle           []*conn
	sweepScheduled bool // a timer for the next sweep is running
}

// Option sets one property of a Target.
type Option func(*Target)

// WithDial sets the function that opens connections, by default a TCP dial.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(t *Target) { t.dial = dial }
}

// WithDialTimeout sets the time-out for connecting to the target.
func WithDialTimeout(d time.Duration) Option { return func(t *Target) { t.dialTimeout = d } }

// WithIdleTimeout sets the time after which an idle connection is closed. A shorter time in the target's
// Keep-Alive header takes precedence.
func WithIdleTimeout(d time.Duration) Option { return func(t *Target) { t.idleTimeout = d } }

// WithLinger sets how long a target has to end a cancelled request. 0 closes the connection at once and
// abandons the request.
func WithLinger(d time.Duration) Option { return func(t *Target) { t.lingerTimeout = d } }

// WithOnConnRefused sets a callback for connections that the target's address refuses. It may be called from
// several goroutines.
func WithOnConnRefused(f func()) Option { return func(t *Target) { t.onConnRefused = f } }

// New returns a client without an address, and a function that closes its idle connections.
func New(opts ...Option) (*Target, func()) {
	t := &Target{dial: dialTCP, dialTimeout: DefaultDialTimeout, idleTimeout: DefaultIdleTimeout, lingerTimeout: DefaultLinger, onConnRefused: func() {}}
	for _, o := range opts {
		o(t)
	}
	return t, func() { t.SetAddress("") }
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// SetAddress sets the address of the target, "" if there is none, and closes the idle connections to the
// previous one. Requests in flight continue.
func (t *Target) SetAddress(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if address == t.address {
		return
	}
	t.address = address
	for _, c := range t.idle {
		c.close()
	}
	t.idle = nil
}

// Address returns the address of the target, "" if there is none.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// Send sends a request and returns the response, or a failure. The caller must read the body of the
// response to its end or close it. The end of ctx cancels the exchange, including the body.
func (t *Target) Send(ctx context.Context, a call.Attempt) call.Reply {
	c, failure := t.acquire(ctx, hashRequest(a.RequestID()))
	if c == nil {
		a.Done()
		return failure
	}
	r, reason := a.Prepare()
	if reason != "" {
		t.putIdle(c)
		a.Done()
		return call.Refuse(reason)
	}
	return newExchange(ctx, t, c, r, a).run()
}

// acquire returns an idle or new connection for a request, or nil and the failure.
func (t *Target) acquire(ctx context.Context, request requestHash) (*conn, call.Failure) {
	address, c := t.takeIdle(request)
	if c != nil {
		return c, call.Failure{}
	}
	if address == "" {
		return nil, call.Refuse(result.NoTarget)
	}
	ctx, cancel := context.WithTimeout(ctx, t.dialTimeout)
	defer cancel()
	n, err := t.dial(ctx, address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			t.onConnRefused()
		}
		return nil, call.Refuse(result.Unreachable)
	}
	c = newConn(n, address)
	c.idleTimeout = t.idleTimeout
	return c, call.Failure{}
}

// takeIdle removes and returns a usable idle connection that has not carried the request, nil if there is none, and
// the current address.
func (t *Target) takeIdle(request requestHash) (string, *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.idle) - 1; i >= 0; i-- {
		c := t.idle[i]
		if c.hasCarried(request) {
			continue
		}
		t.idle = slices.Delete(t.idle, i, i+1)
		if c.usable(min(t.idleTimeout, c.idleTimeout)) {
			return t.address, c
		}
		c.close()
	}
	return t.address, nil
}

// linger asks the target to end a request by closing the sending half of the connection, and waits until
// the target closes it, which means that the target has finished with the request. The request is
// abandoned and the connection closed after lingerTimeout or maxLingerBytes.
func (t *Target) linger(c *conn, a call.Attempt) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || t.lingerTimeout <= 0 {
		c.close()
		a.Abandon()
		return
	}
	_ = c.SetDeadline(time.Now().Add(t.lingerTimeout))
	_ = half.CloseWrite()
	t.group.Go(func() {
		_, err := io.CopyN(io.Discard, c.Conn, maxLingerBytes)
		c.close()
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			a.Abandon()
			return
		}
		a.Done()
	})
}

// putIdle makes a connection available again after a complete exchange.
func (t *Target) putIdle(c *conn) {
	c.markIdle()
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.address != t.address {
		c.close()
		return
	}
	t.idle = append(t.idle, c)
	t.scheduleSweep()
}

// scheduleSweep starts a timer for the next sweep if there are idle connections. The caller holds mu.
func (t *Target) scheduleSweep() {
	if !t.sweepScheduled && len(t.idle) > 0 {
		t.sweepScheduled = true
		time.AfterFunc(sweepInterval, t.sweep)
	}
}

// sweep closes the idle connections that are no longer usable: those past their idle time-out, closed by
// the target, or with unrequested bytes.
func (t *Target) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = slices.DeleteFunc(t.idle, func(c *conn) bool {
		if c.usable(min(t.idleTimeout, c.idleTimeout)) {
			return false
		}
		c.close()
		return true
	})
	t.sweepScheduled = false
	t.scheduleSweep()
}
