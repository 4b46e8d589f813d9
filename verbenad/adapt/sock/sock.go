// Package sock sets up TCP connections that notice a silent peer: one whose packets are
// lost without a reset.
package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacked is how long sent bytes may stay without an acknowledgement.
	unacked = 1500 * time.Millisecond
	// idle and between are the pauses before and between probes of an idle connection, and
	// probes the number of unanswered ones that end it.
	idle    = 2 * time.Second
	between = time.Second
	probes  = 2
)

var watch = net.KeepAliveConfig{Enable: true, Idle: idle, Interval: between, Count: probes}

// control sets the options of a socket before it is connected or listens.
func control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Dialer returns a dialer for connections from the address, nil for any.
func Dialer(local net.Addr) *net.Dialer {
	return &net.Dialer{LocalAddr: local, KeepAliveConfig: watch, Control: control}
}
