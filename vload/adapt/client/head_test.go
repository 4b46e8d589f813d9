package client

import (
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
	"verbenabank/core/wire/heads/headtest"
	"verbenabank/vload/state/plan"
)

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
			address := headtest.Start(t, headtest.Once(text))
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
	address := headtest.Start(t, headtest.Once("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 404 Not Found\r\nEmpty:\r\nA: b c\r\nContent-Length: 0\r\n\r\n"))
	is.Equal(c.Send(post, address, nearDeadline()).Outcome(), result.NewAnswered(404))
}
