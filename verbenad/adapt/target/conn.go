package target

import (
	"bufio"
	"bytes"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is one connection to the target with its buffers.
type conn struct {
	net.Conn
	address string
	since   time.Time
	keep    time.Duration // how long it may be idle
	reader  *bufio.Reader
	writer  *bufio.Writer
	wrote   atomic.Bool
}

func newConn(n net.Conn, address string) *conn {
	c := &conn{Conn: n, address: address}
	c.reader = bufio.NewReaderSize(n, bufferBytes)
	c.writer = bufio.NewWriterSize(c, bufferBytes)
	return c
}

// Write notes that a byte may have left the daemon, before it can: whoever closes the
// sending half and then finds nothing noted knows that none did.
func (c *conn) Write(p []byte) (int, error) {
	first := !c.wrote.Swap(true)
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		c.wrote.Store(false)
	}
	return n, err
}

// rest prepares the connection for its next exchange.
func (c *conn) rest() {
	c.wrote.Store(false)
	c.since = time.Now()
}

func (c *conn) close() { _ = c.Close() }

// usable reports whether the connection is young, open, and without unread bytes:
// such bytes could only belong to an earlier request.
func (c *conn) usable(idle time.Duration) bool {
	if time.Since(c.since) > idle || c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keepSlack is how long before the target's end of an idle connection it is not used any more.
const keepSlack = 500 * time.Millisecond

// heed takes over how long the target keeps the connection idle, as "timeout=N" in seconds.
func (c *conn) heed(value []byte) {
	_, rest, ok := bytes.Cut(value, []byte("timeout="))
	if !ok {
		return
	}
	text, _, _ := bytes.Cut(rest, []byte(","))
	seconds, err := strconv.Atoi(string(bytes.TrimSpace(text)))
	if err == nil && seconds > 0 {
		c.keep = time.Duration(seconds)*time.Second - keepSlack
	}
}
