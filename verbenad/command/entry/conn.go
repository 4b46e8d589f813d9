package entry

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// listener accepts connections that can detect the disconnection of their caller.
type listener struct {
	net.Listener
	watchers *conc.WaitGroup
}

// Accept returns the next connection as a *conn.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, watchers: l.watchers}, nil
}

// conn is the connection of a caller. While a request is served and nothing else reads the
// connection, it can read one byte ahead to detect that the caller closed it; if a byte arrives,
// the next Read returns it. A caller that closes only its sending half counts as disconnected, as
// in net/http.
type conn struct {
	net.Conn
	watchers *conc.WaitGroup

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
	return c.Conn.Close()
}

// Read returns the byte of a read ahead first, waiting for it if it is in progress.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	a := c.pending
	c.mu.Unlock()
	if a == nil {
		return c.Conn.Read(p)
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
