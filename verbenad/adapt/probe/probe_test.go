package probe_test

import (
	"net/http"
	"testing"
	"time"

	"verbenabank/core/command/agent"
	"verbenabank/core/wire/heads/headtest"
	"verbenabank/verbenad/adapt/probe"
)

// lossTimeout is longer than the probe takes to detect an unresponsive target.
const lossTimeout = 5 * time.Second

// startTarget returns the address of a target that answers each health request with the text.
func startTarget(t *testing.T, text string) string {
	return headtest.Start(t, func(int, *http.Request) (string, bool) { return text, true })
}

// TestBrokenHealthResponsesAreNone guards against a target in trouble that counts as alive by responses whose heads are
// broken.
func TestBrokenHealthResponsesAreNone(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 0\r\n\r\n",
		"blank before the colon": "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
		"blank at the start":     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: b\r\n X-Odd: v\r\n\r\n",
		"newline at the start":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\nX-Odd: v\r\n\r\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01Odd: v\r\nContent-Length: 0\r\n\r\n",
		"odd interim response":   "HTTP/1.1 103 Early Hints\r\nX Odd: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lost := make(chan agent.Event, 1)
			p, stop := probe.New(probe.WithPost(func(e agent.Event) { lost <- e }))
			defer stop()
			p.Watch(startTarget(t, text))
			select {
			case <-lost:
			case <-time.After(lossTimeout):
				t.Error("the target counts as alive")
			}
		})
	}
}

// TestHealthResponsesOfAnyStatusCount covers sound responses: a target that answers is alive.
func TestHealthResponsesOfAnyStatusCount(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 Service Unavailable\r\nA: b c\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
	} {
		lost := make(chan agent.Event, 1)
		p, stop := probe.New(probe.WithPost(func(e agent.Event) { lost <- e }))
		p.Watch(startTarget(t, text))
		select {
		case <-lost:
			t.Errorf("%q: the target counts as lost", text)
		case <-time.After(lossTimeout / 4):
		}
		stop()
	}
}
