package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
	"verbenabank/vload/state/plan"
)

// startRaw returns the address of a server that answers each request with the text and closes the connection.
func startRaw(t *testing.T, text string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, text)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestBrokenResponsesAreNoAnswers guards against a load generator that counts broken responses as answers, and waits for
// processes by them.
func TestBrokenResponsesAreNoAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 0\r\n\r\n",
		"blank before the colon": "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
		"blank at the start":     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: b\r\n X-Odd: v\r\n\r\n",
		"newline at the start":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\nX-Odd: v\r\n\r\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01Odd: v\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startRaw(t, text)
			c, stop := New(WithRouting(plan.Modulo{}))
			defer stop()
			is.Equal(c.Send(post, address, nearDeadline()).Outcome(), result.NewUnknown(result.Interrupted))
			var request fasthttp.Request
			var response fasthttp.Response
			request.SetRequestURI("http://" + address)
			is.True(Do(&request, &response, clock.Second) != nil)
		})
	}
}

// TestInterimResponsesAreSkipped covers the final response behind an interim one.
func TestInterimResponsesAreSkipped(t *testing.T) {
	is := is.New(t)
	c, stop := New(WithRouting(plan.Modulo{}))
	defer stop()
	address := startRaw(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 404 Not Found\r\nEmpty:\r\nA: b c\r\nContent-Length: 0\r\n\r\n")
	is.Equal(c.Send(post, address, nearDeadline()).Outcome(), result.NewAnswered(404))
}
