// Package sock opens TCP connections that detect an unreachable peer, one that disappeared without
// closing or resetting the connection.
package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is the TCP user timeout: how long sent data may stay unacknowledged before the
	// connection is closed.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle is the time without traffic before the first keep-alive probe, keepAliveInterval
	// the time between probes, and keepAliveProbes the number of unanswered ones that close the
	// connection.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}

// setUserTimeout is a Control function: it sets the user timeout before the socket connects or listens.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Dialer returns a dialer with these time-outs. Its connections come from the local address, or from
// any address if it is nil.
func Dialer(local net.Addr) *net.Dialer {
	return &net.Dialer{LocalAddr: local, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}
