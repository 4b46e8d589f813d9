package stat

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/wire/heads/headtest"
)

// TestBrokenResponsesAreNoMetrics guards against figures of 0 that are measured by a response that is broken or a failure.
func TestBrokenResponsesAreNoMetrics(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nA: b\r\n X-Odd: v\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{",
	} {
		if m, err := ReadMetrics(headtest.Start(t, headtest.Once(text))); err == nil {
			t.Errorf("%q: %v", text, m)
		}
	}
}

// TestMetricsAreRead covers a sound response.
func TestMetricsAreRead(t *testing.T) {
	is := is.New(t)
	m, err := ReadMetrics(headtest.Start(t, headtest.Once("HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{\"verbenad.sessions\": 7}")))
	is.NoErr(err)
	is.Equal(m.Sessions(), 7)
}
