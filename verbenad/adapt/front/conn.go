package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/verbenad/command/memory"
)

// conn is the connection of a caller. One goroutine reads requests from it; each request is served by a
// goroutine of its own, which writes its response after all earlier ones (HTTP pipelining).
type conn struct {
	server        *Server
	net           net.Conn
	reader        *bufio.Reader
	share         *memory.Share
	ctx           context.Context // cancelled when the caller disconnects
	cancel        context.CancelFunc
	inFlight      atomic.Int32
	writeDeadline atomic.Int64  // of the clock, in milliseconds; 0 if none is set
	slots         chan struct{} // semaphore: one element per request in flight
	requests      sync.WaitGroup

	lastActive atomic.Int64 // when the connection was accepted, or its last request ended, in milliseconds of the clock
	evicted    bool         // closed to make room; guarded by the server's mutex

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
	c := &conn{server: s, net: n, reader: bufio.NewReaderSize(n, idleBufferBytes), share: s.memory.NewShare(), slots: make(chan struct{}, MaxPipelined)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.lastActive.Store(int64(s.clock.Now()))
	c.lastDone = make(chan struct{})
	close(c.lastDone)
	return c
}

func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer c.shrinkBuffer()
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
	x := &exchange{conn: c, done: make(chan struct{}), startTime: c.server.clock.Now(), memory: c.share.NewTally()}
	defer x.releaseUnlessStarted()
	_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout().Duration()))
	err := c.receiveHead(x)
	if err == nil {
		err = x.head.Read(c.reader)
	}
	switch {
	case err == nil:
	case errors.Is(err, errNoMemory):
		return c.rejectHead(x, result.Overloaded)
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
	c.shrinkBuffer()
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
	x.started = true
	go func() {
		defer c.requests.Done()
		if c.server.catchPanic("serve a request", f) {
			c.finish(true)
			c.cancel()
		}
		x.memory.Close()
		close(x.done)
		c.lastActive.Store(int64(c.server.clock.Now()))
		c.inFlight.Add(-1)
		c.closeIfFinished()
		<-c.slots
	}()
}

func isHeadTooLarge(err error) bool {
	var small *fasthttp.ErrSmallBuffer
	return errors.As(err, &small)
}

func isConnError(err error) bool {
	var n *net.OpError
	return errors.As(err, &n) || errors.Is(err, io.ErrUnexpectedEOF)
}
