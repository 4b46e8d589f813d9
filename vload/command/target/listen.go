package target

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"verbenabank/vload/state/server"
)

// listener limits the number of open connections and delays each new one by the connect delay.
type listener struct {
	net.Listener
	behavior  server.Behavior
	openConns atomic.Int64
}

func listen(address string, b server.Behavior) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fail("listen", NotListening, err)
	}
	return &listener{Listener: l, behavior: b}, nil
}

// Accept returns the next connection. It closes connections above the limit at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openConns.Load() >= int64(l.behavior.MaxConnections()) {
			_ = c.Close()
			continue
		}
		time.Sleep(l.behavior.ConnectDelay().Duration())
		l.openConns.Add(1)
		return &conn{Conn: c, listener: l}, nil
	}
}

// conn is a connection that counts towards the limit until it is closed.
type conn struct {
	net.Conn
	listener *listener
	closed   atomic.Bool
}

// Close closes the connection and frees its place in the limit. Further calls do not free another.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.openConns.Add(-1)
	}
	return c.Conn.Close()
}

// watchClose returns a channel that is closed when the peer closes the connection, and a function
// that stops watching, which must be called before the connection is read again.
func watchClose(c net.Conn) (<-chan struct{}, func()) {
	disconnected := make(chan struct{})
	counted, ok := c.(*conn)
	if !ok {
		return disconnected, func() {}
	}
	tcp, ok := counted.Conn.(*net.TCPConn)
	if !ok {
		return disconnected, func() {}
	}
	var group conc.WaitGroup
	group.Go(func() {
		if closedByPeer(tcp) {
			close(disconnected)
		}
	})
	return disconnected, func() {
		_ = tcp.SetReadDeadline(time.Unix(1, 0))
		group.Wait()
		_ = tcp.SetReadDeadline(time.Time{})
	}
}

// closedByPeer blocks until the connection is readable or its read deadline passes, and reports whether
// the peer closed it. It peeks one byte, so that no data is consumed.
func closedByPeer(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	_ = raw.Read(func(fd uintptr) bool {
		buffer := make([]byte, 1)
		n, _, err := unix.Recvfrom(int(fd), buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == unix.EAGAIN || err == unix.EINTR {
			return false
		}
		closed = n == 0 || err != nil
		return true
	})
	return closed
}
