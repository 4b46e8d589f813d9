// Package iostat counts the bytes, reads and writes of TCP connections.
package iostat

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter sums the payload of its connections, without the overhead of TCP. The zero
// value is ready to use. It is safe for concurrent use.
type Counter struct {
	in     atomic.Int64
	out    atomic.Int64
	reads  atomic.Int64
	writes atomic.Int64
}

// BytesIn returns the number of bytes received.
func (c *Counter) BytesIn() int64 { return c.in.Load() }

// BytesOut returns the number of bytes sent.
func (c *Counter) BytesOut() int64 { return c.out.Load() }

// Reads returns the number of reads that returned data.
func (c *Counter) Reads() int64 { return c.reads.Load() }

// Writes returns the number of writes, failed ones included.
func (c *Counter) Writes() int64 { return c.writes.Load() }

// Dial opens a TCP connection whose traffic the counter includes.
func (c *Counter) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, counter: c}, nil
}

// countingConn is a connection that adds its traffic to a counter.
type countingConn struct {
	net.Conn
	counter *Counter
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.counter.in.Add(int64(n))
		c.counter.reads.Add(1)
	}
	return n, err
}

// Write writes to the connection and counts the bytes that were written.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.out.Add(int64(n))
	c.counter.writes.Add(1)
	return n, err
}
