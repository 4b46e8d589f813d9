package front

import (
	"io"
	"net"
	"time"

	"verbenabank/core/state/rules"
)

const (
	// normalLingerTimeout and maxLingerBytes bound how much unread input is discarded before a connection
	// is closed. Closing with unread input would reset the connection and could destroy responses
	// that the caller has not received yet.
	normalLingerTimeout = 500 * time.Millisecond
	maxLingerBytes      = 16 << 20
	// shutdownLingerTimeout replaces normalLingerTimeout once the grace period of a shutdown has ended.
	shutdownLingerTimeout = 100 * time.Millisecond
	// shutdownIdleTimeout replaces the configured idle timeout during a graceful shutdown.
	shutdownIdleTimeout = 50 * time.Millisecond
)

// closesAfter reports whether the connection is closed after the response to x; wanted asks for that.
// It is not closed while later requests are in flight, since these still get their responses.
func (c *conn) closesAfter(x *exchange, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastDone != x.done {
		return false
	}
	c.closing = c.closing || wanted
	return c.closing
}

// stopReading makes the connection read no more requests. unread says that part of a request is left
// in the input.
func (c *conn) stopReading(unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.unreadInput = c.unreadInput || unread
}

// finish closes the connection after the response that was just written. truncated says that this
// response is incomplete.
func (c *conn) finish(truncated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.truncated = true, c.truncated || truncated
	c.unreadInput = c.unreadInput || c.server.keepAlivesDisabled.Load()
	if c.awaiting {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// closeIfFinished is called after each request. If the connection is closing or the server shuts
// down, it unblocks a reader that began to wait for the next request after the response was written.
func (c *conn) closeIfFinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.server.shuttingDown.Load() {
		c.closeIfIdleLocked()
	}
}

// idleTimeout returns how long to wait for the next request. c.mu must be held.
func (c *conn) idleTimeout(limits rules.Limits) time.Duration {
	if c.server.shuttingDown.Load() && c.inFlight.Load() == 0 {
		return shutdownIdleTimeout
	}
	return limits.IdleTimeout().Duration()
}

// idle reports whether the connection waits for a request and none is in flight.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaiting && !c.closing && c.inFlight.Load() == 0
}

// closeIfIdle closes the connection if no request is in flight.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIfIdleLocked()
}

// closeIfIdleLocked closes the connection if no request is in flight. A request that arrives at the
// same moment is still answered, since the caller was not told that the connection closes. c.mu must
// be held.
func (c *conn) closeIfIdleLocked() {
	if c.awaiting && c.inFlight.Load() == 0 {
		c.closingIdle = c.closingIdle || !c.closing
		c.closing = true
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// close closes the connection. After an incomplete response it is reset, so that the caller cannot
// take the response for a complete one.
func (c *conn) close() {
	t, ok := c.net.(*net.TCPConn)
	switch {
	case ok && c.truncated:
		_ = t.SetLinger(0)
	case ok && c.unreadInput:
		_ = t.CloseWrite()
		_ = t.SetReadDeadline(time.Now().Add(c.lingerTimeout()))
		_, _ = io.CopyN(io.Discard, t, maxLingerBytes)
	}
	_ = c.net.Close()
}

// lingerTimeout returns how long to wait for the caller to close the connection.
func (c *conn) lingerTimeout() time.Duration {
	if c.server.graceCtx.Err() != nil {
		return shutdownLingerTimeout
	}
	return normalLingerTimeout
}
