// Package target exchanges requests and answers with the target beside the daemon
// over HTTP connections that carry one request at a time.
//
// It uses the codec of fasthttp, but not its HostClient: that one sends a request
// again by itself when a kept connection breaks, cannot be cancelled, and does not
// tell whether a byte was written. Here a failure is a proof that the request did
// not run only if the dial failed or no byte left the daemon, and a connection is
// used again only after a whole exchange.
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
	// DefaultDialTimeout bounds the dial of the target.
	DefaultDialTimeout = 250 * time.Millisecond
	// DefaultIdleTimeout is how long a connection is kept without a request.
	DefaultIdleTimeout = 10 * time.Second
	// DefaultSettle is how long a target may take to end a request that was given up.
	DefaultSettle = 1 * time.Second
	// bufferBytes is the size of the buffers of a connection; the head of an answer
	// must fit one.
	bufferBytes = 16 << 10
	// settleBytes is how much may still come of an answer that was given up.
	settleBytes = 8 << 20
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = 1 * time.Second
)

// Target is the target beside the daemon. It is safe for concurrent use.
type Target struct {
	dial        func(ctx context.Context, address string) (net.Conn, error)
	dialTimeout time.Duration
	idleTimeout time.Duration
	settling    time.Duration
	refused     func()
	group       conc.WaitGroup

	mu       sync.Mutex
	address  string
	idle     []*conn
	sweeping bool // a sweep is due
}

// Option sets one property of a Target.
type Option func(*Target)

// WithDial sets how connections are made.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(t *Target) { t.dial = dial }
}

// WithDialTimeout bounds the dial of the target.
func WithDialTimeout(span time.Duration) Option { return func(t *Target) { t.dialTimeout = span } }

// WithIdleTimeout sets how long a connection is kept without a request.
func WithIdleTimeout(span time.Duration) Option { return func(t *Target) { t.idleTimeout = span } }

// WithLinger sets how long a target may take to end a request that was given up.
func WithLinger(span time.Duration) Option { return func(t *Target) { t.settling = span } }

// WithOnConnRefused sets what is called when nobody listens at the target's address.
func WithOnConnRefused(f func()) Option { return func(t *Target) { t.refused = f } }

// New returns a target without an address. The clean-up function closes idle
// connections.
func New(opts ...Option) (*Target, func()) {
	t := &Target{dial: dialTCP, dialTimeout: DefaultDialTimeout, idleTimeout: DefaultIdleTimeout, settling: DefaultSettle, refused: func() {}}
	for _, o := range opts {
		o(t)
	}
	return t, func() { t.SetAddress("") }
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// SetAddress sets the address of the target, "" if there is none, and closes idle
// connections to the last one. Requests in flight go on.
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

// Send sends a request and returns the answer, whose body is still to be read, or a
// failure. The end of ctx ends the exchange.
func (t *Target) Send(ctx context.Context, w call.Attempt) call.Reply {
	c, failure := t.take(ctx)
	if c == nil {
		w.Done()
		return failure
	}
	r, reason := w.Prepare()
	if reason != "" {
		t.keep(c)
		w.Done()
		return call.Refuse(reason)
	}
	return newExchange(ctx, t, c, r, w).run()
}

// take returns a connection that is open and has nothing unread.
func (t *Target) take(ctx context.Context) (*conn, call.Failure) {
	address, c := t.kept()
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
			t.refused()
		}
		return nil, call.Refuse(result.Unreachable)
	}
	c = newConn(n, address)
	c.keep = t.idleTimeout
	return c, call.Failure{}
}

// kept returns an idle connection if one is still usable.
func (t *Target) kept() (string, *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.idle) > 0 {
		c := t.idle[len(t.idle)-1]
		t.idle = t.idle[:len(t.idle)-1]
		if c.usable(min(t.idleTimeout, c.keep)) {
			return t.address, c
		}
		c.close()
	}
	return t.address, nil
}

// settle asks the target to end a request, by closing the sending half, and waits until it
// closes the connection: then it does not work on the request any more. After the
// longest time for that, or after many bytes, the connection is closed in any case.
func (t *Target) settle(c *conn, w call.Attempt) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || t.settling <= 0 {
		c.close()
		w.Abandon()
		return
	}
	_ = c.SetDeadline(time.Now().Add(t.settling))
	_ = half.CloseWrite()
	t.group.Go(func() {
		_, err := io.CopyN(io.Discard, c.Conn, settleBytes)
		c.close()
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			w.Abandon()
			return
		}
		w.Done()
	})
}

// keep puts a connection back after a whole exchange.
func (t *Target) keep(c *conn) {
	c.rest()
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.address != t.address {
		c.close()
		return
	}
	t.idle = append(t.idle, c)
	t.sweepLater()
}

// sweepLater makes sure that a sweep is due while there are idle connections. The lock must
// be held.
func (t *Target) sweepLater() {
	if !t.sweeping && len(t.idle) > 0 {
		t.sweeping = true
		time.AfterFunc(sweepEvery, t.sweep)
	}
}

// sweep closes the idle connections that no request would get: those whose time is over and
// those with bytes that nobody asked for.
func (t *Target) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = slices.DeleteFunc(t.idle, func(c *conn) bool {
		if c.usable(min(t.idleTimeout, c.keep)) {
			return false
		}
		c.close()
		return true
	})
	t.sweeping = false
	t.sweepLater()
}
