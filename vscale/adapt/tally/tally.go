// Package tally counts the bytes of connections.
package tally

import (
	"context"
	"net"
	"sync/atomic"
)

// Tally sums what its connections carried above TCP. It is safe for concurrent
// use.
type Tally struct {
	in     atomic.Int64
	out    atomic.Int64
	reads  atomic.Int64
	writes atomic.Int64
}

// In returns the bytes received.
func (t *Tally) In() int64 { return t.in.Load() }

// Out returns the bytes sent.
func (t *Tally) Out() int64 { return t.out.Load() }

// Reads returns how many reads returned bytes.
func (t *Tally) Reads() int64 { return t.reads.Load() }

// Writes returns how many writes were made.
func (t *Tally) Writes() int64 { return t.writes.Load() }

// Dial connects to address by TCP and counts what the connection carries.
func (t *Tally) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, tally: t}, nil
}

// conn counts what passes through it.
type conn struct {
	net.Conn
	tally *Tally
}

// Read receives and counts.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.tally.in.Add(int64(n))
		c.tally.reads.Add(1)
	}
	return n, err
}

// Write sends and counts.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.tally.out.Add(int64(n))
	c.tally.writes.Add(1)
	return n, err
}
