package target

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"verbenabank/vload/state/server"
)

// listener limits connections and makes each new one cost time.
type listener struct {
	net.Listener
	behavior server.Behavior
	open     atomic.Int64
}

func listen(address string, b server.Behavior) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fail("listen", NotListening, err)
	}
	return &listener{Listener: l, behavior: b}, nil
}

// Accept returns the next connection within the limit, and closes those above it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Load() >= int64(l.behavior.MaxConnections()) {
			_ = c.Close()
			continue
		}
		time.Sleep(l.behavior.ConnectDelay().Duration())
		l.open.Add(1)
		return &conn{Conn: c, listener: l}, nil
	}
}

// conn is a connection that counts towards the limit until it is closed.
type conn struct {
	net.Conn
	listener *listener
	closed   atomic.Bool
}

// Close closes the connection.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// watch returns a channel that is closed when the caller closes the connection,
// and a function that ends the watch and must be called before the connection is
// read again.
func watch(c net.Conn) (<-chan struct{}, func()) {
	gone := make(chan struct{})
	own, ok := c.(*conn)
	if !ok {
		return gone, func() {}
	}
	tcp, ok := own.Conn.(*net.TCPConn)
	if !ok {
		return gone, func() {}
	}
	var group conc.WaitGroup
	group.Go(func() {
		if broken(tcp) {
			close(gone)
		}
	})
	return gone, func() {
		_ = tcp.SetReadDeadline(time.Unix(1, 0))
		group.Wait()
		_ = tcp.SetReadDeadline(time.Time{})
	}
}

// broken waits until there is something to read or the read deadline passes, and
// reports whether the other side closed the connection.
func broken(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	_ = raw.Read(func(fd uintptr) bool {
		one := make([]byte, 1)
		n, _, err := unix.Recvfrom(int(fd), one, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == unix.EAGAIN || err == unix.EINTR {
			return false
		}
		closed = n == 0 || err != nil
		return true
	})
	return closed
}
