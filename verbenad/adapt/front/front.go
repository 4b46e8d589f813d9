// Package front takes HTTP/1.1 requests of callers by host and path, runs those of one
// connection side by side, and answers them in order.
//
// It reads on while requests run, so it notices at once when a caller leaves. How callers
// name things is the matter of a Dialect.
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
	"verbenabank/verbenad/command/meter"
	"verbenabank/verbenad/command/relay"
	"verbenabank/verbenad/command/reqlog"
)

const (
	// MaxAhead is how many requests of one connection run side by side.
	MaxAhead = 32
	// MaxConnections is how many callers may be connected at once.
	MaxConnections = 2048
	// readBytes is the size in bytes of a connection's buffer, and with it of the largest
	// head that is read.
	readBytes = 16<<10 + 512
)

// RequestInfo is what the head of a request says to the system.
type RequestInfo struct {
	id   string
	wait clock.Millis
}

// NewRequestInfo returns the identity of a request and how many milliseconds its caller waits, 0 if
// it does not say.
func NewRequestInfo(id string, wait clock.Millis) RequestInfo { return RequestInfo{id: id, wait: wait} }

// ErrorResponse is how a caller is told that there is no answer.
type ErrorResponse struct {
	status int
	fields []call.Field
	text   string
}

// NewErrorResponse returns the response with a status, header fields and a line of text.
func NewErrorResponse(status int, text string, fields ...call.Field) ErrorResponse {
	return ErrorResponse{status: status, text: text, fields: fields}
}

// Dialect is how callers are spoken to. It only maps names.
type Dialect interface {
	// RequestInfo reads what a request says to the system.
	RequestInfo(h *fasthttp.RequestHeader) RequestInfo
	// ForwardedFields returns the header fields for the target out of those of the caller. origin is
	// the service of the instance that the request comes from.
	ForwardedFields(fields []call.Field, origin string) []call.Field
	// ErrorResponse returns the response for an outcome without an answer.
	ErrorResponse(id string, o result.Outcome) ErrorResponse
}

// Server takes requests of callers. It is safe for concurrent use.
type Server struct {
	clock    *clock.Clock
	relay    *relay.Relay
	dialect  Dialect
	meter    *meter.Meter
	log      *logrus.Entry
	origin   func() string
	group    conc.WaitGroup
	leaving  atomic.Bool
	stopping atomic.Bool // connections end as soon as nothing is under way
	story    *reqlog.Logger
	ending   context.Context // ends when requests under way get no more time
	end      context.CancelFunc

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]struct{}
}

// Option sets one property of a Front.
type Option func(*Server)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(f *Server) { f.clock = c } }

// WithRelay sets what serves the requests.
func WithRelay(r *relay.Relay) Option { return func(f *Server) { f.relay = r } }

// WithDialect sets how callers are spoken to.
func WithDialect(d Dialect) Option { return func(f *Server) { f.dialect = d } }

// WithLocalService sets what tells the service of this instance.
func WithLocalService(f func() string) Option { return func(x *Server) { x.origin = f } }

// WithLog sets the log.
func WithLog(e *logrus.Entry) Option { return func(f *Server) { f.log = e } }

// New returns a front.
func New(opts ...Option) *Server {
	f := &Server{
		clock: clock.New(), meter: meter.ForPart("entry"), log: logrus.NewEntry(logrus.StandardLogger()),
		conns: map[*conn]struct{}{}, origin: func() string { return "" },
	}
	f.ending, f.end = context.WithCancel(context.Background())
	for _, o := range opts {
		o(f)
	}
	f.story = reqlog.New(f.clock, f.log, "front")
	return f
}

// Serve takes connections until the listener is closed, which Shutdown does.
func (f *Server) Serve(l net.Listener) error {
	ended := make(chan error, 1)
	accept := func() error { return f.accept(l) }
	if !f.serving(l, func() { ended <- crash.Call(f.log, "take connections", accept) }) {
		_ = l.Close()
		return net.ErrClosed
	}
	return <-ended
}

// serving runs accept as something that Shutdown waits for. It reports false after Shutdown.
func (f *Server) serving(l net.Listener, accept func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping.Load() {
		return false
	}
	f.listeners = append(f.listeners, l)
	f.group.Go(accept)
	return true
}

// accept takes connections until the listener fails.
func (f *Server) accept(l net.Listener) error {
	for {
		n, err := l.Accept()
		if err != nil {
			return err
		}
		c := newConn(f, n)
		if !f.add(c) {
			_ = n.Close()
			continue
		}
		f.group.Go(c.serve)
	}
}

func (f *Server) add(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.conns) >= MaxConnections {
		f.meter.Add("connections_refused", 1)
		return false
	}
	f.conns[c] = struct{}{}
	return true
}

func (f *Server) drop(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

// DisableKeepAlives asks callers to go elsewhere: each connection ends with its next response.
func (f *Server) DisableKeepAlives() { f.leaving.Store(true) }

// catch runs what serves a connection or a request, and reports whether it panicked.
func (f *Server) catch(op string, serve func()) bool { return crash.Catch(f.log, op, serve) != nil }

// ActiveConnections returns how many connections have requests under way.
func (f *Server) ActiveConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for c := range f.conns {
		if c.ahead.Load() > 0 {
			count++
		}
	}
	return count
}

// answerWithin is how long requests that get no more time may take to be told so.
const answerWithin = 250 * time.Millisecond

// Shutdown takes no more connections, ends idle ones and waits for the others until ctx ends.
// Requests that are under way then are answered that they have no answer of a target.
func (f *Server) Shutdown(ctx context.Context) {
	f.DisableKeepAlives()
	f.mu.Lock()
	f.stopping.Store(true)
	for _, l := range f.listeners {
		_ = l.Close()
	}
	for c := range f.conns {
		c.endIfIdle()
	}
	f.mu.Unlock()
	done := make(chan struct{})
	go func() {
		f.group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		f.end()
		select {
		case <-done:
		case <-time.After(answerWithin):
			f.cut()
			<-done
		}
	}
}

// cut ends all connections at once.
func (f *Server) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		_ = c.net.SetDeadline(time.Unix(1, 0))
		c.cancel()
	}
}
