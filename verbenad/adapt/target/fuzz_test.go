package target_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"verbenabank/core/state/call"
	"verbenabank/core/wire/heads"
	"verbenabank/verbenad/adapt/target"
	"verbenabank/verbenad/command/memory"
	"verbenabank/verbenad/command/memory/memtest"
)

// slackBytes is what an exchange may keep besides the head of its response: buffers, and what the runtime keeps.
const slackBytes = 128 << 10

// inputConn is a connection whose input is a text, and whose output is discarded.
type inputConn struct {
	net.Conn
	bytes.Reader
}

func (c *inputConn) Read(p []byte) (int, error)    { return c.Reader.Read(p) }
func (*inputConn) Write(p []byte) (int, error)     { return len(p), nil }
func (*inputConn) SetDeadline(time.Time) error     { return nil }
func (*inputConn) SetReadDeadline(time.Time) error { return nil }
func (*inputConn) Close() error                    { return nil }

// FuzzResponse checks that a response of any bytes is a response or a failure, that its status is a status code and the names
// of its fields are tokens, and that what is kept of it is no more than its head costs in the memory budget.
func FuzzResponse(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, s := range []string{
		"", head, head + "\r\n", head + "Content-Length: 2\r\n\r\nok", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 099 OK\r\n\r\n" + head + "\r\n", "HTTP/1.1 1000 OK\r\n\r\n", "HTTP/1.1 103 x\r\n\r\n" + head + "\r\n",
		head + strings.Repeat("a:\r\n", 3000) + "\r\n", head + strings.Repeat("a:\n", 5000) + "\n", head + strings.Repeat("Set-Cookie: a\r\n", 1000) + "\r\n",
		strings.Repeat("\r\n", 9000), head + "Set-Cookie: " + strings.Repeat("a=;", 5000) + "\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("a:\r\n", 5000) + "\r\n",
		head + "A b: c\r\n\r\n", head + "A : b\r\n\r\n", head + "A: b\r\n C: d\r\n\r\n", head + "A: b\r\n\nC: d\r\n\r\n", head + "A\x00: b\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		var reply call.Reply
		kept := memtest.Kept(func() any {
			n := &inputConn{}
			n.Reset(input)
			x, _ := target.New(target.WithDial(func(context.Context, string) (net.Conn, error) { return n, nil }), target.WithLinger(0))
			x.SetAddress("a")
			reply = x.Send(context.Background(), get("/"))
			return reply
		})
		if kept > memory.HeadBytes(len(input), memory.Lines(input))+slackBytes {
			t.Errorf("a response of %d bytes keeps %d", len(input), kept)
		}
		if r, ok := reply.(call.Response); ok {
			if r.Status() < 200 || r.Status() > 999 {
				t.Errorf("status %d", r.Status())
			}
			for _, f := range r.Fields() {
				if !heads.IsToken(f.Name()) {
					t.Errorf("field name %q", f.Name())
				}
			}
			_, _ = io.Copy(io.Discard, r.Body())
			_ = r.Body().Close()
		}
	})
}
