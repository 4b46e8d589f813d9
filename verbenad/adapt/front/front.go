// Package front is the HTTP/1.1 server for callers. It routes requests by host and path. Pipelined
// requests of one connection run concurrently, and their responses are sent in order.
//
// A connection is read while its requests run, so a caller that disconnects is noticed at once. The
// names of header fields and the texts of error responses are left to a Dialect.
package front

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/command/crash"
	"verbenabank/verbenad/command/memory"
	"verbenabank/verbenad/command/meter"
	"verbenabank/verbenad/command/relay"
	"verbenabank/verbenad/command/reqlog"
)

const (
	// MaxPipelined is the maximum number of requests in flight on one connection. Further ones are not
	// read until a response is written.
	MaxPipelined = 32
	// MaxConnections is the maximum number of connections of callers. Further ones are closed when they
	// are accepted.
	MaxConnections = 2048
	// readBufferBytes is the size of a connection's read buffer while it reads a large head, which limits the size of
	// a request head. Other heads fit the idle buffer.
	readBufferBytes = 16<<10 + 512
	idleBufferBytes = 4 << 10
	// connBytes is the memory that a connection holds for itself.
	connBytes = 16 << 10
	// socketBytes bounds the input of a connection that the kernel keeps until it is read.
	socketBytes = 64 << 10
)

// RequestInfo is the metadata in a request head that is meant for the router: the request's id and how long
// the caller waits.
type RequestInfo struct {
	id      string
	timeout clock.Millis
}

// NewRequestInfo returns the metadata of a request. A timeout of 0 means that the caller does not limit how
// long it waits.
func NewRequestInfo(id string, timeout clock.Millis) RequestInfo {
	return RequestInfo{id: id, timeout: timeout}
}

// ErrorResponse is the HTTP response to a request that has no response of a target.
type ErrorResponse struct {
	status int
	fields []call.Field
	text   string
}

// NewErrorResponse returns an error response. text becomes the body, followed by a line feed.
func NewErrorResponse(status int, text string, fields ...call.Field) ErrorResponse {
	return ErrorResponse{status: status, text: text, fields: fields}
}

// Dialect maps between the router's terms and the header fields and texts that callers know. It makes
// no decisions. Its methods are called from concurrent goroutines.
type Dialect interface {
	// RequestInfo returns the metadata in a request head.
	RequestInfo(h *fasthttp.RequestHeader) RequestInfo
	// ForwardedFields returns the header fields for the target, given those of the caller's request.
	// localService is the service of this instance, where the request entered, "" if it is not known.
	ForwardedFields(fields []call.Field, localService string) []call.Field
	// ErrorResponse returns the error response for the request with the id and an outcome other than
	// result.Answered.
	ErrorResponse(id string, o result.Outcome) ErrorResponse
}

// Server serves the connections of callers. It is safe for concurrent use.
type Server struct {
	clock              *clock.Clock
	relay              *relay.Relay
	dialect            Dialect
	meter              *meter.Meter
	memory             *memory.Budget
	log                *logrus.Entry
	localService       func() string
	goroutines         conc.WaitGroup
	keepAlivesDisabled atomic.Bool
	shuttingDown       atomic.Bool // connections are closed as soon as no request is in flight
	requestLog         *reqlog.Logger
	graceCtx           context.Context // cancelled at the end of the grace period, which ends the requests in flight
	endGrace           context.CancelFunc

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]struct{}
	evicting  int // connections that are being closed to make room
}

// Option sets one property of a Server.
type Option func(*Server)

// WithClock sets the clock, by default a new one.
func WithClock(c *clock.Clock) Option { return func(s *Server) { s.clock = c } }

// WithRelay sets the relay that forwards the requests. It is required.
func WithRelay(r *relay.Relay) Option { return func(s *Server) { s.relay = r } }

// WithDialect sets the header fields and error responses for callers. It is required.
func WithDialect(d Dialect) Option { return func(s *Server) { s.dialect = d } }

// WithLocalService sets a function that returns the service of this instance, "" while it is not known. It
// is called for each request.
func WithLocalService(f func() string) Option { return func(s *Server) { s.localService = f } }

// WithLog sets the logger, by default logrus's standard one.
func WithLog(e *logrus.Entry) Option { return func(s *Server) { s.log = e } }

// WithMemory sets the budget for what the server holds for callers, by default an unlimited one.
func WithMemory(b *memory.Budget) Option { return func(s *Server) { s.memory = b } }

// New returns a server without listeners. It accepts connections once Serve is called.
func New(opts ...Option) *Server {
	s := &Server{
		clock: clock.New(), meter: meter.ForPart("entry"), memory: memory.Unlimited(), log: logrus.NewEntry(logrus.StandardLogger()),
		conns: map[*conn]struct{}{}, localService: func() string { return "" },
	}
	s.graceCtx, s.endGrace = context.WithCancel(context.Background())
	for _, o := range opts {
		o(s)
	}
	s.requestLog = reqlog.New(s.clock, s.log, "front")
	return s
}

// Serve accepts connections until the listener is closed, which Shutdown does, and returns the error
// of the last Accept. After Shutdown it closes l and returns net.ErrClosed.
func (s *Server) Serve(l net.Listener) error {
	ended := make(chan error, 1)
	accept := func() error { return s.accept(l) }
	if !s.startAccepting(l, func() { ended <- crash.Call(s.log, "accept connections", accept) }) {
		_ = l.Close()
		return net.ErrClosed
	}
	return <-ended
}

// startAccepting calls accept in a goroutine that Shutdown waits for. It reports false after Shutdown.
func (s *Server) startAccepting(l net.Listener, accept func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown.Load() {
		return false
	}
	s.listeners = append(s.listeners, l)
	s.goroutines.Go(accept)
	return true
}

// accept accepts connections until the listener fails.
func (s *Server) accept(l net.Listener) error {
	for {
		n, err := l.Accept()
		if err != nil {
			return err
		}
		if t, ok := n.(*net.TCPConn); ok {
			_ = t.SetReadBuffer(socketBytes)
		}
		c := newConn(s, n)
		if !s.addConn(c) {
			_ = n.Close()
			continue
		}
		s.goroutines.Go(c.serve)
	}
}

// addConn registers a connection. If MaxConnections are open, or the memory for one more is not granted, it closes the one
// that has been idle for longest; it reports false if there is none.
func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.conns) < MaxConnections && c.share.Take(connBytes, "connections"):
	case s.evictIdle():
		c.share.Force(connBytes)
	default:
		s.meter.Add("connections_refused", 1)
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// maxEvicting bounds the connections that are being closed to make room.
const maxEvicting = 64

// evictIdle closes the connection that has waited for a request for longest, and reports whether there is one. s.mu must
// be held.
func (s *Server) evictIdle() bool {
	if s.evicting >= maxEvicting {
		return false
	}
	var oldest *conn
	for c := range s.conns {
		if !c.evicted && (oldest == nil || c.lastActive.Load() < oldest.lastActive.Load()) && c.idle() {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	s.meter.Add("connections_evicted", 1)
	oldest.evicted = true
	s.evicting++
	oldest.closeIfIdle()
	return true
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	c.share.Close()
	if c.evicted {
		s.evicting--
	}
}

// DisableKeepAlives makes each connection close after its next response ("Connection: close"), so that callers
// reconnect elsewhere. New connections are still accepted.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// catchPanic calls serve, which does op, and reports whether it panicked. The panic is logged and
// counted.
func (s *Server) catchPanic(op string, serve func()) bool {
	return crash.Catch(s.log, op, serve) != nil
}

// ActiveConnections returns the number of connections with requests in flight.
func (s *Server) ActiveConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for c := range s.conns {
		if c.inFlight.Load() > 0 {
			count++
		}
	}
	return count
}

// cancelledResponseTimeout is how long requests cancelled at the end of the grace period may take to
// send their error response.
const cancelledResponseTimeout = 250 * time.Millisecond

// Shutdown closes the listeners and idle connections, and waits until the others are closed. When ctx
// ends, requests in flight are cancelled and answered with an error response; connections that
// are still open 250 ms later are closed.
func (s *Server) Shutdown(ctx context.Context) {
	s.DisableKeepAlives()
	s.mu.Lock()
	s.shuttingDown.Store(true)
	for _, l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.conns {
		c.closeIfIdle()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.goroutines.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.endGrace()
		select {
		case <-done:
		case <-time.After(cancelledResponseTimeout):
			s.closeAll()
			<-done
		}
	}
}

// closeAll cancels all requests and lets every read and write on the connections fail at once.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.net.SetDeadline(time.Unix(1, 0))
		c.cancel()
	}
}
