package target

import (
	"bufio"
	"bytes"
	"hash/maphash"
	"maps"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection to the target with its buffers.
type conn struct {
	net.Conn
	address     string
	idleSince   time.Time
	idleTimeout time.Duration // the smaller of this and the client's applies
	reader      *bufio.Reader
	writer      *bufio.Writer
	wrote       atomic.Bool               // a byte of the current request may have left the daemon
	carried     map[requestHash]time.Time // until when a request that the connection has carried may be repeated, by hash
}

func newConn(n net.Conn, address string) *conn {
	c := &conn{Conn: n, address: address}
	c.reader = bufio.NewReaderSize(n, bufferBytes)
	c.writer = bufio.NewWriterSize(c, bufferBytes)
	return c
}

// Write implements io.Writer. It sets wrote before it writes, so that a caller that has closed the
// sending half and finds wrote unset knows that no byte left the daemon.
func (c *conn) Write(p []byte) (int, error) {
	first := !c.wrote.Swap(true)
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		c.wrote.Store(false)
	}
	return n, err
}

// requestHash is the hash of a request ID, 0 if there is none.
type requestHash uint64

// hashSeed is the seed of the hashes of request IDs.
var hashSeed = maphash.MakeSeed()

func hashRequest(id string) requestHash {
	if id == "" {
		return 0
	}
	return requestHash(maphash.String(hashSeed, id))
}

// minPruned is the number of recorded requests from which on those that are over are removed.
const minPruned = 64

// recordCarried records that the connection has carried a request, which may be repeated until an instant. A
// connection carries a request once only: a copy of the first response would pass for the second one, since the
// request ID is the same.
func (c *conn) recordCarried(h requestHash, until time.Time) {
	if h == 0 {
		return
	}
	if c.carried == nil {
		c.carried = map[requestHash]time.Time{}
	}
	if len(c.carried) >= minPruned {
		now := time.Now()
		maps.DeleteFunc(c.carried, func(_ requestHash, until time.Time) bool { return now.After(until) })
	}
	c.carried[h] = until
}

// hasCarried reports whether the connection has carried the request.
func (c *conn) hasCarried(h requestHash) bool {
	_, ok := c.carried[h]
	return ok
}

// markIdle prepares the connection for its next exchange and starts its idle time.
func (c *conn) markIdle() {
	c.wrote.Store(false)
	c.idleSince = time.Now()
}

func (c *conn) close() { _ = c.Close() }

// usable reports whether the connection has been idle for at most maxIdle, is open, and has no unread
// bytes: these could only belong to an earlier request.
func (c *conn) usable(maxIdle time.Duration) bool {
	if time.Since(c.idleSince) > maxIdle || c.reader.Buffered() > 0 {
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
	openAndEmpty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		openAndEmpty = e == unix.EAGAIN
		return true
	})
	return err == nil && openAndEmpty
}

// closedByPeer reports whether the peer has closed its sending half and the connection was not reset, and whether that is
// known.
func (c *conn) closedByPeer() (closed, known bool) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(fd uintptr) {
		info, e := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		known = e == nil
		closed = known && info.State != unix.BPF_TCP_CLOSE
	})
	return closed, known && err == nil
}

// keepAliveMargin is how long before the target's idle time-out a connection is no longer used, so that
// no request is sent while the target closes it.
const keepAliveMargin = 500 * time.Millisecond

// applyKeepAlive sets the idle time-out from the target's Keep-Alive header, "timeout=N" in seconds.
func (c *conn) applyKeepAlive(value []byte) {
	_, rest, ok := bytes.Cut(value, []byte("timeout="))
	if !ok {
		return
	}
	text, _, _ := bytes.Cut(rest, []byte(","))
	seconds, err := strconv.Atoi(string(bytes.TrimSpace(text)))
	if err == nil && seconds > 0 {
		c.idleTimeout = time.Duration(seconds)*time.Second - keepAliveMargin
	}
}
