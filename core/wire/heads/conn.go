package heads

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds the time to connect.
	dialTimeout = 3 * time.Second
	// maxHeadBytes is the size in bytes of the largest accepted head.
	maxHeadBytes = 16 << 10
	// readBytes is the size in bytes of one read of a head.
	readBytes = 4 << 10
)

// Conn is a connection of a client that reads responses with a lenient parser. It checks the head of each response before
// the client gets it, and leaves out interim responses, which not all clients skip. Of a head that is not sound the
// client gets the lines before the fault, and then an *Error.
//
// The client must write a request completely before it reads the response (in one piece, if another goroutine reads
// meanwhile), and read that completely before it writes the next request.
type Conn struct {
	net.Conn
	awaited  atomic.Bool // a request was written, and the head of the response was not received yet
	received []byte      // bytes that the client has not read
	err      error       // follows received
}

// NewConn returns a connection that checks what it reads from c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dial connects to a TCP address.
func Dial(address string) (net.Conn, error) { return DialContext(context.Background(), "tcp", address) }

// DialContext connects to an address.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// Write implements net.Conn. What is received after it begins with a head.
func (c *Conn) Write(p []byte) (int, error) {
	c.awaited.Store(true)
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if len(c.received) == 0 && c.err == nil {
		n, err := c.Conn.Read(p)
		if !c.awaited.Load() || n == 0 {
			return n, err
		}
		c.received, c.err = append([]byte(nil), p[:n]...), err
	}
	if c.awaited.Load() && len(c.received) > 0 {
		c.receiveHead()
	}
	n := copy(p, c.received)
	c.received = c.received[n:]
	if n > 0 {
		return n, nil
	}
	return 0, c.err
}

// receiveHead reads until the head of a final response is complete, and checks it.
func (c *Conn) receiveHead() {
	c.awaited.Store(false)
	var p Progress
	for range MaxInterimResponses + 1 {
		if p = c.receiveOne(); !p.IsInterim() {
			return
		}
		c.received = c.received[p.Length():]
	}
	c.received, c.err = nil, &Error{op: opCheck, kind: TooManyInterim}
}

// receiveOne reads until a head is complete, and checks it.
func (c *Conn) receiveOne() Progress {
	var p Progress
	for {
		var err error
		p, err = Scan(c.received, p)
		switch {
		case err != nil:
			c.fail(p, err)
			return p
		case p.Complete(), c.err != nil:
			return p
		case len(c.received) >= maxHeadBytes:
			c.fail(p, &Error{op: opCheck, kind: TooLarge})
			return p
		}
		c.fill()
	}
}

// fill reads once from the connection.
func (c *Conn) fill() {
	buffer := make([]byte, readBytes)
	n, err := c.Conn.Read(buffer)
	c.received, c.err = append(c.received, buffer[:n]...), err
}

// fail leaves the sound lines and the error to the client.
func (c *Conn) fail(p Progress, err error) {
	c.received, c.err = c.received[:p.Length()], err
}
