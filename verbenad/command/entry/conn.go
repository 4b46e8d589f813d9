package entry

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"verbenabank/verbenad/command/memory"
	"verbenabank/verbenad/command/meter"
)

// listener accepts connections that can detect the disconnection of their caller.
type listener struct {
	net.Listener
	watchers *conc.WaitGroup
	memory   *memory.Budget
	meter    *meter.Meter
}

const (
	// connBytes is the memory that a connection holds for itself: its buffers, its goroutine and the parser's.
	connBytes = 32 << 10
	// socketBytes bounds the input of a connection that the kernel keeps until it is read.
	socketBytes = 64 << 10
)

// Accept returns the next connection as a *conn. It closes connections whose memory is not granted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		share := l.memory.NewShare()
		if !share.Take(connBytes, "connections") {
			l.meter.Add("connections_refused", 1)
			_ = n.Close()
			continue
		}
		if t, ok := n.(*net.TCPConn); ok {
			_ = t.SetReadBuffer(socketBytes)
		}
		return &conn{Conn: n, watchers: l.watchers, share: share, request: share.NewTally()}, nil
	}
}

// conn is the connection of a caller. While a request is served and nothing else reads the
// connection, it can read one byte ahead to detect that the caller closed it; if a byte arrives,
// the next Read returns it. A caller that closes only its sending half counts as disconnected, as
// in net/http.
type conn struct {
	net.Conn
	watchers *conc.WaitGroup
	share    *memory.Share
	request  *memory.Tally // held by the request that is read or served
	lines    int           // of the head that is read
	phase    atomic.Int32
	closed   atomic.Bool

	mu       sync.Mutex
	pending  *readAhead // nil if no read ahead is in progress or unconsumed
	unread   bool       // the caller may have sent bytes that nothing will read
	wasReset bool
}

// readAhead is a read of one byte in the background. The result may be read once done is closed.
type readAhead struct {
	done   chan struct{}
	buffer [1]byte
	count  int
	err    error
}

// watchClose calls onClose, on a goroutine of its own, if the caller closes the connection before
// it sends another byte. The request must have been read to its end.
func (c *conn) watchClose(onClose func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil {
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	a := &readAhead{done: make(chan struct{})}
	c.pending = a
	c.watchers.Go(func() {
		a.count, a.err = c.Conn.Read(a.buffer[:])
		if a.err != nil && !errors.Is(a.err, os.ErrDeadlineExceeded) {
			onClose()
		}
		close(a.done)
	})
}

const (
	// lingerTimeout and lingerBytes limit how long and how much of unwanted input is read and
	// discarded before a connection is closed.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 16 << 20
)

// markUnread records that a part of the request, or pipelined input after it, will not be read.
func (c *conn) markUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = true
}

// Close closes the connection. If unread input may remain, it half-closes the connection and
// discards input for up to 500 ms first: closing a socket with unread input resets the connection,
// and the caller could lose the response.
func (c *conn) Close() error {
	c.mu.Lock()
	linger := c.unread && !c.wasReset
	c.mu.Unlock()
	if t, ok := c.Conn.(*net.TCPConn); ok && linger {
		_ = t.CloseWrite()
		_ = t.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, t, lingerBytes)
	}
	if !c.closed.Swap(true) {
		c.request.Close()
		c.share.Give(connBytes)
	}
	return c.Conn.Close()
}

// Read returns the byte of a read ahead first, waiting for it if it is in progress.
func (c *conn) Read(p []byte) (int, error) {
	c.release()
	c.mu.Lock()
	a := c.pending
	c.mu.Unlock()
	if a == nil {
		n, err := c.Conn.Read(p)
		if !c.takeLines(p[:n]) {
			_ = c.Conn.Close()
			return 0, io.EOF
		}
		return n, err
	}
	<-a.done
	c.mu.Lock()
	c.pending = nil
	c.mu.Unlock()
	if a.err != nil {
		return 0, a.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	return copy(p, a.buffer[:a.count]), nil
}

// freeLines is the number of lines of a head up to which they cost nothing besides the request.
const freeLines = 64

// Phases of a connection.
const (
	readingHead int32 = iota
	serving           // the head was read
	finishing         // the handler has returned, and the response is written before the next read
)

// takeLines counts the lines and cookies of a head and takes the memory that their parsed form costs. It reports false if that is not
// granted; nothing of the request has run then.
func (c *conn) takeLines(p []byte) bool {
	if c.phase.Load() == serving {
		return true
	}
	before := max(c.lines, freeLines)
	c.lines += memory.Lines(p)
	if c.lines <= before {
		return true
	}
	return c.request.Take(memory.HeadBytes(0, c.lines-before), "heads")
}

// beginRequest takes the memory for a request whose head was read, and reports whether it is granted.
func (c *conn) beginRequest(h *fasthttp.RequestHeader) bool {
	c.release()
	c.phase.Store(serving)
	lines := max(0, memory.Lines(h.RawHeaders())-max(c.lines, freeLines))
	return c.request.Take(memory.RequestBytes+memory.HeadBytes(len(h.RawHeaders()), lines), "requests")
}

// endRequest records that the handler of a request has returned. What the request holds is given back when its response
// is written.
func (c *conn) endRequest() { c.phase.Store(finishing) }

// release gives back the memory of a request whose response is written.
func (c *conn) release() {
	if c.phase.CompareAndSwap(finishing, readingHead) {
		c.request.Close()
		c.lines = 0
	}
}

// reset makes Close send a TCP reset and fails further writes, so that no caller takes a truncated
// response for a complete one.
func (c *conn) reset() {
	c.mu.Lock()
	c.wasReset = true
	c.mu.Unlock()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0))
}
