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
	// lingerSpan and lingerBytes bound how much of what is not answered is read and thrown away
	// before a connection is closed, so that the responses arrive.
	lingerSpan  = 500 * time.Millisecond
	lingerBytes = 16 << 20
	// lastLinger is lingerSpan at the end of a planned stop.
	lastLinger = 100 * time.Millisecond
	// lastWait is how long a connection without requests is kept while the daemon stops.
	lastWait = 50 * time.Millisecond
)

// conn is a connection of a caller. One goroutine reads it; each request has one of its
// own, which writes when its turn has come.
type conn struct {
	front  *Server
	net    net.Conn
	reader *bufio.Reader
	ctx    context.Context // ends when the caller leaves
	cancel context.CancelFunc
	ahead  atomic.Int32  // requests under way
	room   chan struct{} // has an element for each request under way
	group  sync.WaitGroup

	mu      sync.Mutex
	turn    chan struct{} // closed when the last response is written
	last    *exchange     // the one of that response, nil before the first
	waiting bool          // for the first byte of a request
	ending  bool          // no request is read any more
	unsaid  bool          // it ends since it is idle, its caller was not told
	broken  bool          // the last response is not whole
	unread  bool          // something may be left in the connection that is not answered
}

func newConn(f *Server, n net.Conn) *conn {
	c := &conn{front: f, net: n, reader: bufio.NewReaderSize(n, readBytes), room: make(chan struct{}, MaxAhead)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.turn = make(chan struct{})
	close(c.turn)
	return c
}

func (c *conn) serve() {
	defer c.front.drop(c)
	if c.front.catch("read a connection", c.read) {
		c.end(true)
	}
	c.group.Wait()
	c.cancel()
	c.close()
}

// read reads requests until none is to follow.
func (c *conn) read() {
	for c.next() {
	}
}

// next reads a request and starts it. It reports false at the end of the connection.
func (c *conn) next() bool {
	limits := c.front.relay.Limits()
	if !c.await(limits) {
		return false
	}
	x := &exchange{conn: c, done: make(chan struct{}), began: c.front.clock.Now()}
	_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout().Duration()))
	err := x.head.Read(c.reader)
	switch {
	case err == nil:
	case isSmall(err):
		return c.start(x, result.HeadTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.end(c.ahead.Load() > 0)
		return false
	case errors.Is(err, io.EOF), isNet(err):
		c.cancel()
		return false
	default:
		return c.start(x, result.BadRequest)
	}
	if !c.take(x) {
		return false
	}
	return x.open(limits)
}

// await waits for the first byte of a request. A caller that leaves meanwhile ends all its
// requests.
func (c *conn) await(limits rules.Limits) bool {
	if c.reader.Buffered() > 0 {
		return c.open()
	}
	for {
		c.mu.Lock()
		c.waiting = true
		ending := c.ending
		if !ending {
			_ = c.net.SetReadDeadline(time.Now().Add(c.patience(limits)))
		}
		c.mu.Unlock()
		if ending && c.ahead.Load() == 0 {
			return false
		}
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		c.waiting = false
		if err == nil && c.unsaid {
			c.ending, c.unsaid = false, false
		}
		c.mu.Unlock()
		switch {
		case err == nil:
			return c.open()
		case errors.Is(err, os.ErrDeadlineExceeded) && c.ahead.Load() > 0 && c.open():
			continue
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.cancel()
		}
		return false
	}
}

// take puts a request behind those before it. One that was read after the connection began
// to end counts as not read: its caller sends it again. So does one behind another when the daemon
// stops: it might not be answered within the grace time.
func (c *conn) take(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = c.ending || (c.front.stopping.Load() && c.behind())
	if c.ending {
		c.unread = true
		return false
	}
	x.before, c.turn, c.last = c.turn, x.done, x
	return true
}

// behind reports whether the caller cannot have the last response yet. The lock must be held.
func (c *conn) behind() bool { return c.last != nil && !c.last.sent.Load() }

// ends reports whether the response to x is the last one, which it is to be if wanted. One
// with requests behind it is not: they are under way and get their answers.
func (c *conn) ends(x *exchange, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.turn != x.done {
		return false
	}
	c.ending = c.ending || wanted
	return c.ending
}

// open reports whether requests are still read.
func (c *conn) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ending
}

// start refuses a request whose head cannot be read and ends the connection.
func (c *conn) start(x *exchange, reason result.Reason) bool {
	return c.take(x) && c.reject(x, reason)
}

// reject refuses a request at once and ends the connection.
func (c *conn) reject(x *exchange, reason result.Reason) bool {
	c.end(true)
	c.run(x, func() { x.refuse(reason) })
	return false
}

// run runs a request beside the reading of the connection.
func (c *conn) run(x *exchange, f func()) {
	c.room <- struct{}{}
	c.ahead.Add(1)
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		if c.front.catch("serve a request", f) {
			c.stop(true)
			c.cancel()
		}
		close(x.done)
		c.ahead.Add(-1)
		c.rest()
		<-c.room
	}()
}

// end stops the reading of requests. unread says that a body is left in the connection.
func (c *conn) end(unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.unread = c.unread || unread
}

// stop ends the connection after the response that was just written.
func (c *conn) stop(broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending, c.broken = true, c.broken || broken
	c.unread = c.unread || c.front.leaving.Load()
	if c.waiting {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// rest ends the connection if that was the last answer, or if the daemon stops meanwhile. Its reader may
// have come to wait after the answer was written.
func (c *conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending || c.front.stopping.Load() {
		c.endIdle()
	}
}

// patience returns how long the next request is waited for. The lock must be held.
func (c *conn) patience(limits rules.Limits) time.Duration {
	if c.front.stopping.Load() && c.ahead.Load() == 0 {
		return lastWait
	}
	return limits.IdleTimeout().Duration()
}

// endIfIdle ends the connection if no request is under way.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endIdle()
}

// endIdle ends the connection if no request is under way. One that is read at this instant is
// still answered: its caller was told nothing. The lock must be held.
func (c *conn) endIdle() {
	if c.waiting && c.ahead.Load() == 0 {
		c.unsaid = c.unsaid || !c.ending
		c.ending = true
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// close closes the connection. One whose last response is not whole is reset, so that the
// response cannot look complete.
func (c *conn) close() {
	t, ok := c.net.(*net.TCPConn)
	switch {
	case ok && c.broken:
		_ = t.SetLinger(0)
	case ok && c.unread:
		_ = t.CloseWrite()
		_ = t.SetReadDeadline(time.Now().Add(c.linger()))
		_, _ = io.CopyN(io.Discard, t, lingerBytes)
	}
	_ = c.net.Close()
}

// linger returns how long the connection may wait for its caller to close it.
func (c *conn) linger() time.Duration {
	if c.front.ending.Err() != nil {
		return lastLinger
	}
	return lingerSpan
}

// bodyReader returns the reader of the body that a head announces, nil without one.
func (c *conn) bodyReader(h *fasthttp.RequestHeader) (io.Reader, int64) {
	switch length := int64(h.ContentLength()); {
	case length > 0:
		return io.LimitReader(c.reader, length), length
	case length == -1:
		return &chunked{reader: c.reader, chunks: httputil.NewChunkedReader(c.reader)}, -1
	}
	return nil, 0
}

// chunked reads a body in chunks, with its trailer.
type chunked struct {
	reader *bufio.Reader
	chunks io.Reader
}

func (b *chunked) Read(p []byte) (int, error) {
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

func isSmall(err error) bool {
	var small *fasthttp.ErrSmallBuffer
	return errors.As(err, &small)
}

func isNet(err error) bool {
	var n *net.OpError
	return errors.As(err, &n) || errors.Is(err, io.ErrUnexpectedEOF)
}
