package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
)

const (
	// normalLingerTimeout and maxLingerBytes bound how much unread input is discarded before a connection
	// is closed. Closing with unread input would reset the connection and could destroy responses
	// that the caller has not received yet.
	normalLingerTimeout = 500 * time.Millisecond
	maxLingerBytes      = 16 << 20
	// shutdownLingerTimeout replaces normalLingerTimeout once the grace period of a shutdown has ended.
	shutdownLingerTimeout = 100 * time.Millisecond
	// shutdownIdleTimeout replaces the configured idle timeout during a graceful shutdown.
	shutdownIdleTimeout = 50 * time.Millisecond
)

// conn is the connection of a caller. One goroutine reads requests from it; each request is served by a
// goroutine of its own, which writes its response after all earlier ones (HTTP pipelining).
type conn struct {
	server   *Server
	net      net.Conn
	reader   *bufio.Reader
	ctx      context.Context // cancelled when the caller disconnects
	cancel   context.CancelFunc
	inFlight atomic.Int32
	slots    chan struct{} // semaphore: one element per request in flight
	requests sync.WaitGroup

	mu           sync.Mutex
	lastDone     chan struct{} // closed when the response to the newest request is written
	lastExchange *exchange     // the newest request, nil before the first
	awaiting     bool          // the reader waits for the first byte of a request
	closing      bool          // no more requests are read
	closingIdle  bool          // closing was set on an idle connection, without "Connection: close"
	truncated    bool          // the last response is incomplete
	unreadInput  bool          // input may be left that will not be answered
}

func newConn(s *Server, n net.Conn) *conn {
	c := &conn{server: s, net: n, reader: bufio.NewReaderSize(n, readBufferBytes), slots: make(chan struct{}, MaxPipelined)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.lastDone = make(chan struct{})
	close(c.lastDone)
	return c
}

func (c *conn) serve() {
	defer c.server.removeConn(c)
	if c.server.catchPanic("read requests", c.readRequests) {
		c.stopReading(true)
	}
	c.requests.Wait()
	c.cancel()
	c.close()
}

// readRequests reads requests until the connection is closing.
func (c *conn) readRequests() {
	for c.readRequest() {
	}
}

// readRequest reads one request and starts serving it. It reports false if no more are to be read.
func (c *conn) readRequest() bool {
	limits := c.server.relay.Limits()
	if !c.awaitRequest(limits) {
		return false
	}
	x := &exchange{conn: c, done: make(chan struct{}), startTime: c.server.clock.Now()}
	_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout().Duration()))
	err := x.head.Read(c.reader)
	switch {
	case err == nil:
	case isHeadTooLarge(err):
		return c.rejectHead(x, result.HeadTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.stopReading(c.inFlight.Load() > 0)
		return false
	case errors.Is(err, io.EOF), isConnError(err):
		c.cancel()
		return false
	default:
		return c.rejectHead(x, result.BadRequest)
	}
	if !c.enqueue(x) {
		return false
	}
	return x.start(limits)
}

// awaitRequest waits for the first byte of a request and reports whether there is one to read. If
// the caller disconnects meanwhile, all its requests are cancelled.
func (c *conn) awaitRequest(limits rules.Limits) bool {
	if c.reader.Buffered() > 0 {
		return c.accepting()
	}
	for {
		c.mu.Lock()
		c.awaiting = true
		closing := c.closing
		if !closing {
			_ = c.net.SetReadDeadline(time.Now().Add(c.idleTimeout(limits)))
		}
		c.mu.Unlock()
		if closing && c.inFlight.Load() == 0 {
			return false
		}
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		c.awaiting = false
		if err == nil && c.closingIdle {
			c.closing, c.closingIdle = false, false
		}
		c.mu.Unlock()
		switch {
		case err == nil:
			return c.accepting()
		case errors.Is(err, os.ErrDeadlineExceeded) && c.inFlight.Load() > 0 && c.accepting():
			continue
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.cancel()
		}
		return false
	}
}

// enqueue appends a request to the pipeline and reports whether it is to be served. A request that
// was read after the connection began to close is dropped, and the caller sends it again on another
// connection. During a graceful shutdown the same holds for a request behind an unfinished one,
// which might not be answered within the grace period.
func (c *conn) enqueue(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || (c.server.shuttingDown.Load() && c.responsePending())
	if c.closing {
		c.unreadInput = true
		return false
	}
	x.prevDone, c.lastDone, c.lastExchange = c.lastDone, x.done, x
	return true
}

// responsePending reports whether the caller cannot have received the complete response to the newest
// request yet. c.mu must be held.
func (c *conn) responsePending() bool { return c.lastExchange != nil && !c.lastExchange.sent.Load() }

// closesAfter reports whether the connection is closed after the response to x; wanted asks for that.
// It is not closed while later requests are in flight, since these still get their responses.
func (c *conn) closesAfter(x *exchange, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastDone != x.done {
		return false
	}
	c.closing = c.closing || wanted
	return c.closing
}

// accepting reports whether more requests are to be read.
func (c *conn) accepting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing
}

// rejectHead responds to a request whose head is invalid or too large, and closes the connection.
func (c *conn) rejectHead(x *exchange, reason result.Reason) bool {
	return c.enqueue(x) && c.reject(x, reason)
}

// reject responds to a request without forwarding it, and closes the connection. It returns false,
// since no more requests are to be read.
func (c *conn) reject(x *exchange, reason result.Reason) bool {
	c.stopReading(true)
	c.startRequest(x, func() { x.refuse(reason) })
	return false
}

// startRequest calls f, which serves x, in a new goroutine. It blocks while MaxPipelined requests are
// in flight.
func (c *conn) startRequest(x *exchange, f func()) {
	c.slots <- struct{}{}
	c.inFlight.Add(1)
	c.requests.Add(1)
	go func() {
		defer c.requests.Done()
		if c.server.catchPanic("serve a request", f) {
			c.finish(true)
			c.cancel()
		}
		close(x.done)
		c.inFlight.Add(-1)
		c.closeIfFinished()
		<-c.slots
	}()
}

// stopReading makes the connection read no more requests. unread says that part of a request is left
// in the input.
func (c *conn) stopReading(unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.unreadInput = c.unreadInput || unread
}

// finish closes the connection after the response that was just written. truncated says that this
// response is incomplete.
func (c *conn) finish(truncated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.truncated = true, c.truncated || truncated
	c.unreadInput = c.unreadInput || c.server.keepAlivesDisabled.Load()
	if c.awaiting {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// closeIfFinished is called after each request. If the connection is closing or the server shuts
// down, it unblocks a reader that began to wait for the next request after the response was written.
func (c *conn) closeIfFinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.server.shuttingDown.Load() {
		c.closeIfIdleLocked()
	}
}

// idleTimeout returns how long to wait for the next request. c.mu must be held.
func (c *conn) idleTimeout(limits rules.Limits) time.Duration {
	if c.server.shuttingDown.Load() && c.inFlight.Load() == 0 {
		return shutdownIdleTimeout
	}
	return limits.IdleTimeout().Duration()
}

// closeIfIdle closes the connection if no request is in flight.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIfIdleLocked()
}

// closeIfIdleLocked closes the connection if no request is in flight. A request that arrives at the
// same moment is still answered, since the caller was not told that the connection closes. c.mu must
// be held.
func (c *conn) closeIfIdleLocked() {
	if c.awaiting && c.inFlight.Load() == 0 {
		c.closingIdle = c.closingIdle || !c.closing
		c.closing = true
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// close closes the connection. After an incomplete response it is reset, so that the caller cannot
// take the response for a complete one.
func (c *conn) close() {
	t, ok := c.net.(*net.TCPConn)
	switch {
	case ok && c.truncated:
		_ = t.SetLinger(0)
	case ok && c.unreadInput:
		_ = t.CloseWrite()
		_ = t.SetReadDeadline(time.Now().Add(c.lingerTimeout()))
		_, _ = io.CopyN(io.Discard, t, maxLingerBytes)
	}
	_ = c.net.Close()
}

// lingerTimeout returns how long to wait for the caller to close the connection.
func (c *conn) lingerTimeout() time.Duration {
	if c.server.graceCtx.Err() != nil {
		return shutdownLingerTimeout
	}
	return normalLingerTimeout
}

// bodyReader returns a reader of the request body and the body's length in bytes, which is -1 for the
// chunked transfer coding. Without a body the reader is nil.
func (c *conn) bodyReader(h *fasthttp.RequestHeader) (io.Reader, int64) {
	switch length := int64(h.ContentLength()); {
	case length > 0:
		return io.LimitReader(c.reader, length), length
	case length == -1:
		return &chunkedReader{reader: c.reader, chunks: httputil.NewChunkedReader(c.reader)}, -1
	}
	return nil, 0
}

// chunkedReader decodes a body in the chunked transfer coding and discards its trailer section.
type chunkedReader struct {
	reader *bufio.Reader
	chunks io.Reader
}

func (b *chunkedReader) Read(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	for {
		line, err := b.reader.ReadSlice('\n')
		if err != nil {
			return n, io.ErrUnexpectedEOF
		}
		if len(line) <= 2 {
			return n, io.EOF
		}
	}
}

func isHeadTooLarge(err error) bool {
	var small *fasthttp.ErrSmallBuffer
	return errors.As(err, &small)
}

func isConnError(err error) bool {
	var n *net.OpError
	return errors.As(err, &n) || errors.Is(err, io.ErrUnexpectedEOF)
}
