package front_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
)

// TestPanicOfARequestEndsItsConnectionOnly guards against a process that ends with the fault of one
// request, and against a stop that panics for a connection that is long gone.
func TestPanicOfARequestEndsItsConnectionOnly(t *testing.T) {
	is := is.New(t)
	f, address := start(t, 5000, func(_ context.Context, r call.Request) call.Reply {
		if r.URI() == "/p/bad" {
			panic("bad")
		}
		return answer("whole", 5)
	})
	other, answers := dial(t, address)
	c, r := dial(t, address)
	_, err := io.WriteString(c, ask("/p/bad"))
	is.NoErr(err)
	status, _ := read(t, r)
	is.Equal(status, 502)
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)

	c, r = dial(t, address)
	_, err = io.WriteString(c, "GET /p/1 HTTP/1.1\r\nHost: h\r\nId: "+faulty+"\r\n\r\n")
	is.NoErr(err)
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)

	_, err = io.WriteString(other, ask("/p/1"))
	is.NoErr(err)
	status, _ = read(t, answers)
	is.Equal(status, 200)
	<-stopping(t, f)
}
