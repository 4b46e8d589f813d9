package client

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"verbenabank/core/clock"
)

const connectTimeout = 1 * clock.Second

// errIdleClosed means that the server had closed an idle connection before the
// request was written to it: nothing was sent.
var errIdleClosed = errors.New("the idle connection was closed")

// conn is a connection that refuses to send a request after the server closed it.
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
	return &conn{Conn: c, peerClosed: func() bool { return closedByPeer(c) }}, nil
}

// Write sends a part of a request, unless it is the first and the connection is
// closed.
func (c *conn) Write(part []byte) (int, error) {
	if !c.requestStarted.Load() && c.peerClosed() {
		return 0, errIdleClosed
	}
	c.requestStarted.Store(true)
	return c.Conn.Write(part)
}

// Read reads a part of an answer.
func (c *conn) Read(part []byte) (int, error) {
	n, err := c.Conn.Read(part)
	c.requestStarted.Store(false)
	return n, err
}

// closedByPeer reports, without waiting, whether the other side closed the connection.
func closedByPeer(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	result := false
	_ = raw.Control(func(fd uintptr) {
		one := make([]byte, 1)
		n, _, err := unix.Recvfrom(int(fd), one, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		result = n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return result
}
