package stat

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// startDaemon returns the admin address of a daemon that answers each request with the text and closes the connection.
func startDaemon(t *testing.T, text string) string {
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
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestBrokenResponsesAreNoMetrics guards against figures of 0 that are measured by a response that is broken or a failure.
func TestBrokenResponsesAreNoMetrics(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nA: b\r\n X-Odd: v\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{",
	} {
		if m, err := ReadMetrics(startDaemon(t, text)); err == nil {
			t.Errorf("%q: %v", text, m)
		}
	}
}

// TestMetricsAreRead covers a sound response.
func TestMetricsAreRead(t *testing.T) {
	is := is.New(t)
	m, err := ReadMetrics(startDaemon(t, "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{\"verbenad.sessions\": 7}"))
	is.NoErr(err)
	is.Equal(m.Sessions(), 7)
}
