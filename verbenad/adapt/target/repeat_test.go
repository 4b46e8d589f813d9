package target_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
)

// repeated returns an attempt of the request with the ID.
func repeated(id string) call.Attempt {
	r := call.NewRequest("s", "POST", "/"+id, call.WithID(id))
	return call.NewAttempt(func() (call.Request, result.Reason) { return r, "" }, func() {}, call.WithRequestID(id))
}

// TestCopyOfARefusalIsNoAnswerToTheSameRequest guards against a request that is said not to have run although it
// does: a faulty target refuses it, gets it once more, and writes the refusal again before it runs it. The
// request ID can't tell the copy from the response (review case 4).
func TestCopyOfARefusalIsNoAnswerToTheSameRequest(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	refused := map[net.Conn]string{} // the last request that the connection has carried and that was refused
	address, _ := startTarget(t, func(c net.Conn, r *http.Request, _ int64) bool {
		mu.Lock()
		defer mu.Unlock()
		id := r.URL.Path[1:]
		switch {
		case refused[c] != "":
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", refused[c])
			refused[c] = ""
		case len(refused) == 0:
			refused[c] = id
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			return true
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return true
	})
	x := newTarget(t, address)
	send := func(id string) int {
		r, ok := x.Send(context.Background(), repeated(id)).(call.Response)
		is.True(ok)
		_, err := io.Copy(io.Discard, r.Body())
		is.NoErr(err)
		return r.Status()
	}
	is.Equal(send("a"), 503)
	is.Equal(send("a"), 200)
	is.Equal(send("b"), 200) // the newest connection has not carried it
	is.Equal(len(refused), 1)
}

// TestConnectionsAreSharedByDifferentRequests checks that requests with other IDs go on one connection.
func TestConnectionsAreSharedByDifferentRequests(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	conns := map[net.Conn]int{}
	address, _ := startTarget(t, func(c net.Conn, _ *http.Request, _ int64) bool {
		mu.Lock()
		defer mu.Unlock()
		conns[c]++
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	x := newTarget(t, address)
	for n := range 300 {
		r, ok := x.Send(context.Background(), repeated(fmt.Sprintf("r-%d", n))).(call.Response)
		is.True(ok)
		_, _ = io.Copy(io.Discard, r.Body())
	}
	is.Equal(len(conns), 1)
}
