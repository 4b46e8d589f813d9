package front

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"time"

	"verbenabank/verbenad/command/memory"
	"verbenabank/verbenad/command/memory/memtest"
)

// slackBytes is what a decoder may keep besides what is counted for its input: buffers, and what the runtime keeps.
const slackBytes = 96 << 10

// inputConn is a connection whose input is a text.
type inputConn struct {
	net.Conn
	bytes.Reader
}

func (c *inputConn) Read(p []byte) (int, error)    { return c.Reader.Read(p) }
func (*inputConn) SetReadDeadline(time.Time) error { return nil }
func (*inputConn) Close() error                    { return nil }

// headSeeds are heads of requests, valid and not.
func headSeeds() []string {
	const line = "GET /p/ HTTP/1.1\r\nHost: h\r\n"
	return []string{
		"", "\r\n\r\n", "GET", line, line + "\r\n", "\r\n\r\n" + line + "\r\n", "GET / HTTP/1.1\n\n",
		line + strings.Repeat("a:\r\n", 1989) + "\r\n", line + strings.Repeat("a:\n", 5000) + "\n",
		line + strings.Repeat("a\r\n", 100) + "\r\n", line + "a: b\r\n c\r\n\r\n", line + strings.Repeat(" x\r\n", 3000) + "\r\n",
		line + "A: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", "GET " + strings.Repeat("/", 16<<10),
		line + "Cookie: " + strings.Repeat("a=;", 4000) + "\r\n\r\n", line + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
	}
}

// FuzzRequestHead checks that what is kept of a request head is no more than what the memory budget counts for it.
func FuzzRequestHead(f *testing.F) {
	for _, s := range headSeeds() {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		s := New(WithMemory(memory.New(1 << 30)))
		n := &inputConn{}
		n.Reset(input)
		c := newConn(s, n)
		x := &exchange{conn: c, memory: c.share.NewTally()}
		kept := memtest.Kept(func() any {
			if c.receiveHead(x) == nil && x.head.Read(c.reader) == nil {
				return endToEndFields(&x.head)
			}
			return nil
		})
		if counted := s.memory.Held(); kept > counted+slackBytes {
			t.Errorf("a head of %d bytes keeps %d, and %d are counted", len(input), kept, counted)
		}
		x.memory.Close()
		c.shrinkBuffer()
		if left := s.memory.Held(); left != 0 {
			t.Errorf("%d bytes are counted after the request", left)
		}
	})
}
