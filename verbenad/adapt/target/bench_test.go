package target_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"verbenabank/core/state/call"
	"verbenabank/verbenad/adapt/target"
)

// repeatingConn is a connection whose peer answers each write with the same text.
type repeatingConn struct {
	net.Conn
	text   string
	unread string
}

func (c *repeatingConn) Read(p []byte) (int, error) {
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *repeatingConn) Write(p []byte) (int, error) {
	c.unread = c.text
	return len(p), nil
}

func (*repeatingConn) SetDeadline(time.Time) error     { return nil }
func (*repeatingConn) SetReadDeadline(time.Time) error { return nil }
func (*repeatingConn) Close() error                    { return nil }

// BenchmarkExchange measures an ordinary request without a network: what the daemon itself spends on sending it to the
// target and on reading the response.
func BenchmarkExchange(b *testing.B) {
	text := "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n" + strings.Repeat("X-Some-Field: some-value-of-it\r\n", 12) + "\r\nin stock: 7"
	x, stop := target.New(target.WithDial(func(context.Context, string) (net.Conn, error) { return &repeatingConn{text: text}, nil }))
	defer stop()
	x.SetAddress("a")
	b.ReportAllocs()
	for b.Loop() {
		r, ok := x.Send(context.Background(), get("/")).(call.Response)
		if !ok {
			b.Fatal("no response")
		}
		if _, err := io.Copy(io.Discard, r.Body()); err != nil {
			b.Fatal(err)
		}
	}
}
