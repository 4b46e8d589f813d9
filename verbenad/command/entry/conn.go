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

// listener hands out connections that notice when their caller goes away.
type listener struct {
	net.Listener
	watches *conc.WaitGroup
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, watches: l.watches}, nil
}

// conn is the connection of a caller. While a request runs, and nothing reads the
// connection, it can read ahead one byte to notice that the caller closed it; a
// byte that arrives instead is handed to the next Read. A caller that closes only its
// sending half counts as gone, as with net/http.
type conn struct {
	net.Conn
	watches *conc.WaitGroup

	mu      sync.Mutex
	ahead   *ahead
	unread  bool
	aborted bool
}

// ahead is one read ahead.
type ahead struct {
	done  chan struct{}
	bytes [1]byte
	count int
	err   error
}

// watch calls gone if the caller closes the connection before it sends another byte.
// The request must be read whole.
func (c *conn) watch(gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ahead != nil {
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	a := &ahead{done: make(chan struct{})}
	c.ahead = a
	c.watches.Go(func() {
		a.count, a.err = c.Conn.Read(a.bytes[:])
		if a.err != nil && !errors.Is(a.err, os.ErrDeadlineExceeded) {
			gone()
		}
		close(a.done)
	})
}

const (
	// lingerSpan and lingerBytes bound what is read of a body, or of further requests, that nobody wants.
	lingerSpan  = 500 * time.Millisecond
	lingerBytes = 16 << 20
)

// leave says that a part of the request, or what was sent behind it, will stay unread.
func (c *conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = true
}

// Close closes the connection. If the caller may still be sending something, it is read for a
// while first: closing at once would reset the connection, and the caller would lose the
// response.
func (c *conn) Close() error {
	c.mu.Lock()
	linger := c.unread && !c.aborted
	c.mu.Unlock()
	if t, ok := c.Conn.(*net.TCPConn); ok && linger {
		_ = t.CloseWrite()
		_ = t.SetReadDeadline(time.Now().Add(lingerSpan))
		_, _ = io.CopyN(io.Discard, t, lingerBytes)
	}
	return c.Conn.Close()
}

// Read returns what was read ahead first.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	a := c.ahead
	c.mu.Unlock()
	if a == nil {
		return c.Conn.Read(p)
	}
	<-a.done
	c.mu.Lock()
	c.ahead = nil
	c.mu.Unlock()
	if a.err != nil {
		return 0, a.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	return copy(p, a.bytes[:a.count]), nil
}

// abort makes the close of the connection show as a reset, so that no caller takes
// a broken answer for a whole one.
func (c *conn) abort() {
	c.mu.Lock()
	c.aborted = true
	c.mu.Unlock()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0))
}
