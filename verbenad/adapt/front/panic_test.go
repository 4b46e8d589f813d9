package front_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
)

// TestPanicInRequestClosesOnlyItsConnection guards against a panic in one request that ends the process,
// and against a panic that is only raised again when Shutdown waits for the goroutines.
func TestPanicInRequestClosesOnlyItsConnection(t *testing.T) {
	is := is.New(t)
	f, address := startServer(t, 5000, func(_ context.Context, r call.Request) call.Reply {
		if r.URI() == "/p/bad" {
			panic("bad")
		}
		return newResponse("whole", 5)
	})
	other, answers := dial(t, address)
	c, r := dial(t, address)
	_, err := io.WriteString(c, getRequest("/p/bad"))
	is.NoErr(err)
	status, _ := readResponse(t, r)
	is.Equal(status, 502)
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)

	c, r = dial(t, address)
	_, err = io.WriteString(c, "GET /p/1 HTTP/1.1\r\nHost: h\r\nId: "+panicID+"\r\n\r\n")
	is.NoErr(err)
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)

	_, err = io.WriteString(other, getRequest("/p/1"))
	is.NoErr(err)
	status, _ = readResponse(t, answers)
	is.Equal(status, 200)
	<-shutdown(t, f)
}
