// Package hop carries requests between daemons over gRPC.
//
// A request is refused as not run only if its head was not handed to a connection, or if
// the other daemon says so. gRPC's configured retries are switched off; the ones it
// makes by itself are only for streams that the peer declared unprocessed.
package hop

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/wire/wirepb"
)

const (
	// WindowBytes bounds what a stream sends ahead of its reader.
	WindowBytes = 64 << 10
	// DefaultConnectTimeout bounds the making of a connection.
	DefaultConnectTimeout = 500 * time.Millisecond
	// partSpan is how long the connection to a member that is gone is kept: its last answers may still be
	// on their way when the others know that it is gone.
	partSpan = 1 * time.Second
	// chunkBytes is the size of the largest part of a body. With its head the part fits
	// a pooled buffer of gRPC of 32 KiB; the next size is 1 MiB.
	chunkBytes = 32<<10 - 64
)

// Client forwards requests to other daemons. It is safe for concurrent use.
type Client struct {
	dialOptions    []grpc.DialOption
	connectTimeout time.Duration

	mu      sync.Mutex
	closed  bool
	conns   map[string]*grpc.ClientConn
	parting map[*grpc.ClientConn]struct{} // to be closed soon
}

// Option sets one property of a Client.
type Option func(*Client)

// WithDialOptions adds options to every connection.
func WithDialOptions(opts ...grpc.DialOption) Option {
	return func(c *Client) { c.dialOptions = append(c.dialOptions, opts...) }
}

// WithConnectTimeout bounds the making of a connection.
func WithConnectTimeout(span time.Duration) Option {
	return func(c *Client) { c.connectTimeout = span }
}

// New returns a client without connections. The clean-up function closes them all
// and so ends requests on their way.
func New(opts ...Option) (*Client, func()) {
	c := &Client{connectTimeout: DefaultConnectTimeout, conns: map[string]*grpc.ClientConn{}, parting: map[*grpc.ClientConn]struct{}{}}
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
	for n := range c.parting {
		_ = n.Close()
	}
	clear(c.parting)
}

// Keep parts with connections to all addresses but those listed, so that there is at
// most one for each member. Nothing more is sent on the others, and requests that have no whole
// answer soon are interrupted.
func (c *Client) Keep(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, n := range c.conns {
		if !addresses[a] {
			delete(c.conns, a)
			c.parting[n] = struct{}{}
			time.AfterFunc(partSpan, func() { c.part(n) })
		}
	}
}

// part closes a connection, if it is not closed yet.
func (c *Client) part(n *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.parting[n]; ok {
		delete(c.parting, n)
		_ = n.Close()
	}
}

// conn returns the connection to address, which is made in the background.
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

// Send forwards the request to the daemon at address. The reply is a call.Answer
// whose body must be closed, or a call.Failure.
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
	e := &exchange{caller: ctx, cancel: cancel, stream: stream, request: r}
	return e.run()
}
