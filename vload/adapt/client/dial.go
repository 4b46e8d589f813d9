package client

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"verbenabank/core/clock"
	"verbenabank/core/wire/heads"
)

const connectTimeout = 1 * clock.Second

// errIdleClosed means that the server closed the idle connection before the request
// was written to it, so nothing was sent.
var errIdleClosed = errors.New("idle connection closed by the server")

// conn is a connection that fails instead of sending a request after the server
// closed it, so that the request is known not to have been sent.
type conn struct {
	net.Conn
	peerClosed     func() bool
	requestStarted atomic.Bool
}

func dial(address string) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(address, connectTimeout.Duration())
	if err != nil {
		return nil, err
	}
	return &conn{Conn: heads.NewConn(c), peerClosed: func() bool { return closedByPeer(c) }}, nil
}

// Write sends part of a request. It returns errIdleClosed if the part is the first one
// and the server has closed the connection.
func (c *conn) Write(part []byte) (int, error) {
	if !c.requestStarted.Load() && c.peerClosed() {
		return 0, errIdleClosed
	}
	c.requestStarted.Store(true)
	return c.Conn.Write(part)
}

// Read reads part of a response. The next write begins a new request.
func (c *conn) Read(part []byte) (int, error) {
	n, err := c.Conn.Read(part)
	c.requestStarted.Store(false)
	return n, err
}

// closedByPeer reports, without blocking, whether the peer closed the connection.
func closedByPeer(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	_ = raw.Control(func(fd uintptr) {
		buffer := make([]byte, 1)
		n, _, err := unix.Recvfrom(int(fd), buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return closed
}
