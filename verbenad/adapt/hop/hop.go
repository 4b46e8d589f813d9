// Package hop forwards requests between daemons over gRPC.
//
// A request is reported as not run only if its head was not handed to a connection, or if the other
// daemon says so. gRPC's configured retries are switched off; its transparent retries remain, which
// apply only to streams that the peer declared unprocessed.
package hop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/wire/wirepb"
)

const (
	// WindowBytes is the initial flow-control window of a stream: how much is sent ahead of its reader.
	WindowBytes = 64 << 10
	// DefaultConnectTimeout bounds one attempt to connect.
	DefaultConnectTimeout = 500 * time.Millisecond
	// closeDelay is how long the connection to a removed member is kept. Its last responses may still
	// be in transit when the other daemons learn of the removal.
	closeDelay = 1 * time.Second
	// chunkBytes is the size of the largest part of a body. With the message header it fits gRPC's
	// pooled buffers of 32 KiB; the next larger ones have 1 MiB.
	chunkBytes = 32<<10 - 64
)

// Client forwards requests to other daemons. It is safe for concurrent use.
type Client struct {
	dialOptions    []grpc.DialOption
	connectTimeout time.Duration
	questions      atomic.Int32 // for rules, without an answer

	mu      sync.Mutex
	closed  bool
	conns   map[string]*grpc.ClientConn   // by address
	closing map[*grpc.ClientConn]struct{} // closed after closeDelay
}

// Option sets one property of a Client.
type Option func(*Client)

// WithDialOptions adds gRPC dial options, which take precedence over the client's own.
func WithDialOptions(opts ...grpc.DialOption) Option {
	return func(c *Client) { c.dialOptions = append(c.dialOptions, opts...) }
}

// WithConnectTimeout bounds one attempt to connect. The default is DefaultConnectTimeout.
func WithConnectTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.connectTimeout = timeout }
}

// New returns a client without connections and a function that closes it. Closing ends the requests
// in flight; later ones are refused.
func New(opts ...Option) (*Client, func()) {
	c := &Client{connectTimeout: DefaultConnectTimeout, conns: map[string]*grpc.ClientConn{}, closing: map[*grpc.ClientConn]struct{}{}}
	for _, o := range opts {
		o(c)
	}
	return c, c.close
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, n := range c.conns {
		_ = n.Close()
	}
	clear(c.conns)
	for n := range c.closing {
		_ = n.Close()
	}
	clear(c.closing)
}

// SetAddresses retires the connections to all other addresses, so that there is at most one per
// member. No new requests are sent on them, and after 1 s they are closed, which interrupts requests
// without a complete response.
func (c *Client) SetAddresses(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, n := range c.conns {
		if !addresses[a] {
			delete(c.conns, a)
			c.closing[n] = struct{}{}
			time.AfterFunc(closeDelay, func() { c.closeRetired(n) })
		}
	}
}

// closeRetired closes a retired connection, unless close has done so already.
func (c *Client) closeRetired(n *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.closing[n]; ok {
		delete(c.closing, n)
		_ = n.Close()
	}
}

// conn returns the connection to address, which is established in the background. It reports false
// if the client is closed.
func (c *Client) conn(address string) (*grpc.ClientConn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n, ok := c.conns[address]; ok {
		return n, true
	}
	if c.closed {
		return nil, false
	}
	n, err := grpc.NewClient("passthrough:///"+address, c.options()...)
	if err != nil {
		return nil, false
	}
	c.conns[address] = n
	return n, true
}

func (c *Client) options() []grpc.DialOption {
	return append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(WindowBytes),
		grpc.WithIdleTimeout(0),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 20 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 500 * time.Millisecond},
			MinConnectTimeout: c.connectTimeout,
		}),
	}, c.dialOptions...)
}

// Send forwards the request to the daemon at address. The reply is a call.Response, whose body must be
// closed, or a call.Failure. If ctx ends, so does the request, also while the body is read.
func (c *Client) Send(ctx context.Context, address string, r call.Request) call.Reply {
	n, ok := c.conn(address)
	if !ok {
		return call.Refuse(result.Unreachable)
	}
	inner, cancel := context.WithCancel(ctx)
	stream, err := wirepb.NewHopClient(n).Forward(inner)
	if err != nil {
		cancel()
		return call.Refuse(result.Unreachable)
	}
	e := &exchange{ctx: ctx, cancel: cancel, stream: stream, request: r}
	return e.run()
}
