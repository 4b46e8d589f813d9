package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsDuringShutdownAreAnsweredOrNotForwarded guards against requests that the target runs
// but the caller gets no response to, because they arrive on a persistent connection while the
// shutdown closes it.
func TestRequestsDuringShutdownAreAnsweredOrNotForwarded(t *testing.T) {
	is := is.New(t)
	var forwarded sync.Map
	address, _ := countingTarget(t, func(w http.ResponseWriter, r *http.Request) {
		forwarded.Store(r.URL.Path, true)
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	_, d := startPair(t, address)
	var group sync.WaitGroup
	var lost, answered, interrupted atomic.Int32
	for n := range 100 {
		group.Go(func() {
			c, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
			if err != nil {
				return // the listener is closed
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for m := range 60 {
				path := fmt.Sprintf("/catalogue/%d-%d", n, m)
				if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
					return
				}
				a, err := http.ReadResponse(r, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, a.Body)
					_ = a.Body.Close()
				}
				if _, ok := forwarded.Load(path); err != nil && ok {
					lost.Add(1)
				}
				if err != nil {
					interrupted.Add(1)
					return
				}
				answered.Add(1)
				if a.Close {
					return
				}
				time.Sleep(time.Duration(n%7) * time.Millisecond)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(d.shutdown(ctx))
	group.Wait()
	t.Logf("%d requests answered, %d sent while their connection was closed", answered.Load(), interrupted.Load())
	is.Equal(lost.Load(), int32(0))
}

// TestResponseDuringShutdownSurvivesPipelinedRequests guards against truncated responses: closing a
// connection with unread input resets it, and the caller loses what it has not read yet.
func TestResponseDuringShutdownSurvivesPipelinedRequests(t *testing.T) {
	is := is.New(t)
	const size = 1 << 20
	begun := make(chan struct{}, 1)
	address, count := countingTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		time.Sleep(100 * time.Millisecond) // the shutdown begins meanwhile
		_, _ = w.Write(make([]byte, size))
	})
	_, d := startPair(t, address)
	c, err := net.Dial("tcp", strings.TrimPrefix(d.url, "http://"))
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /catalogue/k HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-begun
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go func() { _ = d.shutdown(ctx) }()
	r := bufio.NewReader(c)
	a, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	defer func() { _ = a.Body.Close() }()
	is.True(a.Close)
	for range 3 {
		if _, err := io.WriteString(c, "GET /catalogue/l HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			break // the connection is closed
		}
		time.Sleep(30 * time.Millisecond)
	}
	content, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(len(content), size)
	is.Equal(count.Load(), int64(1))
}
