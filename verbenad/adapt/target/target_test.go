package target_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/adapt/target"
)

// startTarget starts a target that calls the script for each request. The script writes the response and
// returns false to close the connection. It returns the address and the number of requests.
func startTarget(t *testing.T, script func(c net.Conn, r *http.Request, count int64) bool) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var count atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				b := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !script(c, r, count.Add(1)) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), &count
}

// newTarget returns a client of the target at the address.
func newTarget(t *testing.T, address string) *target.Target {
	x, stop := target.New()
	t.Cleanup(stop)
	x.SetAddress(address)
	return x
}

func get(path string) call.Attempt { return attempt(call.NewRequest("s", "GET", path)) }

func attempt(r call.Request) call.Attempt {
	return call.NewAttempt(func() (call.Request, result.Reason) { return r, "" }, func() {})
}

// readReply returns the body of a reply, and its outcome as text.
func readReply(r call.Reply) (string, string) {
	switch r := r.(type) {
	case call.Response:
		defer func() { _ = r.Body().Close() }()
		content, err := io.ReadAll(r.Body())
		if err != nil {
			return string(content), "unknown " + string(call.ReasonOf(err))
		}
		return string(content), "answered"
	case call.Failure:
		switch o := r.Outcome().(type) {
		case result.Refused:
			return "", "refused " + string(o.Reason())
		case result.Unknown:
			return "", "unknown " + string(o.Reason())
		case result.Answered:
		}
	}
	return "", ""
}

func write(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

func TestOutcomeOfFaultyResponses(t *testing.T) {
	for name, k := range map[string]struct{ response, outcome string }{
		"complete":         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "answered"},
		"chunked":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "answered"},
		"until close":      {"HTTP/1.1 200 OK\r\n\r\nok", "answered"},
		"interim response": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "answered"},
		"no response":      {"", "unknown interrupted"},
		"cut header":       {"HTTP/1.1 200 OK\r\nContent-Le", "unknown interrupted"},
		"not HTTP":         {"hello\r\n\r\n", "unknown interrupted"},
		"short body":       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "unknown truncated"},
		"short chunk":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", "unknown truncated"},
		"no last chunk":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "unknown truncated"},
		"cut trailer":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "unknown truncated"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, count := startTarget(t, func(c net.Conn, _ *http.Request, _ int64) bool {
				write(c, k.response)
				return false
			})
			_, o := readReply(newTarget(t, address).Send(context.Background(), get("/")))
			is.Equal(o, k.outcome)
			is.Equal(count.Load(), int64(1)) // sent once
		})
	}
}

func TestRequestOnReusedConnectionIsNotResentAfterDisconnect(t *testing.T) {
	is := is.New(t)
	address, count := startTarget(t, func(c net.Conn, _ *http.Request, n int64) bool {
		if n == 1 {
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		return n == 1
	})
	x := newTarget(t, address)
	_, o := readReply(x.Send(context.Background(), get("/1")))
	is.Equal(o, "answered")
	_, o = readReply(x.Send(context.Background(), get("/2")))
	is.Equal(o, "unknown interrupted")
	is.Equal(count.Load(), int64(2))
}

func TestLateResponseNeverReachesNextRequest(t *testing.T) {
	is := is.New(t)
	address, _ := startTarget(t, func(c net.Conn, r *http.Request, _ int64) bool {
		if r.URL.Path == "/late" {
			time.Sleep(60 * time.Millisecond)
		}
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"+r.URL.Path)
		if r.URL.Path == "/twic" { // an unrequested response
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
		}
		return true
	})
	x := newTarget(t, address)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, o := readReply(x.Send(ctx, get("/late")))
	is.Equal(o, "unknown timed-out")
	for _, path := range []string{"/own1", "/own2", "/twic", "/own3", "/own4"} {
		content, o := readReply(x.Send(context.Background(), get(path)))
		is.Equal(o, "answered")
		is.Equal(content, path)
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	content, _ := readReply(x.Send(context.Background(), get("/own5")))
	is.Equal(content, "/own5")
}

func TestRefusedConnectionAndMissingTargetAreRefused(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	_ = l.Close()
	_, o := readReply(newTarget(t, l.Addr().String()).Send(context.Background(), get("/")))
	is.Equal(o, "refused unreachable")
	_, o = readReply(newTarget(t, "").Send(context.Background(), get("/")))
	is.Equal(o, "refused no-target")
}

func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan error, 1)
	address, _ := startTarget(t, func(c net.Conn, _ *http.Request, _ int64) bool {
		_, err := c.Read(make([]byte, 1))
		closed <- err
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, o := readReply(newTarget(t, address).Send(ctx, get("/")))
	is.Equal(o, "unknown cancelled")
	is.True(<-closed != nil)
}

// TestCancelledRequestIsDoneOnlyWhenTargetFinishes cancels a request once the target has it. The target finishes only
// after the reply, so the test depends on no duration.
func TestCancelledRequestIsDoneOnlyWhenTargetFinishes(t *testing.T) {
	is := is.New(t)
	var done atomic.Bool
	replied := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	address, _ := startTarget(t, func(c net.Conn, _ *http.Request, _ int64) bool {
		cancel()
		_, _ = c.Read(make([]byte, 1)) // returns when the client closes the sending half
		<-replied
		done.Store(true)
		return false
	})
	x, stop := target.New(target.WithLinger(time.Minute))
	defer stop()
	x.SetAddress(address)
	ended := make(chan bool, 1)
	_, o := readReply(x.Send(ctx, call.NewAttempt(
		func() (call.Request, result.Reason) { return call.NewRequest("s", "POST", "/"), "" },
		func() { ended <- done.Load() })))
	is.Equal(o, "unknown cancelled") // the reply does not wait for the target
	is.True(!done.Load())
	is.Equal(len(ended), 0)
	close(replied)
	is.True(<-ended)
}

func TestShortBodyIsNeverSentAsCompleteRequest(t *testing.T) {
	for _, length := range []int64{100, 100_000} {
		is := is.New(t)
		address, _ := startTarget(t, func(c net.Conn, r *http.Request, _ int64) bool {
			if r.ContentLength != 10 {
				return false
			}
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		r := attempt(call.NewRequest("s", "POST", "/", call.WithBody(strings.NewReader("0123456789"), length)))
		_, o := readReply(newTarget(t, address).Send(context.Background(), r))
		is.True(o != "answered")
	}
}
