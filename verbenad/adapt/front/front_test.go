package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/core/query/retry"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/verbenad/adapt/front"
	"verbenabank/verbenad/command/relay"
)

// testDialect takes the request id from the field Id, and names the outcome in error responses.
type testDialect struct{}

// panicID is the id of a request that makes the goroutine that reads its connection panic.
const panicID = "faulty"

func (testDialect) RequestInfo(h *fasthttp.RequestHeader) front.RequestInfo {
	if string(h.Peek("Id")) == panicID {
		panic(panicID)
	}
	return front.NewRequestInfo(string(h.Peek("Id")), 0)
}

func (testDialect) ForwardedFields(fields []call.Field, _ string) []call.Field { return fields }

func (testDialect) ErrorResponse(_ string, o result.Outcome) front.ErrorResponse {
	switch o := o.(type) {
	case result.Refused:
		return front.NewErrorResponse(503, "refused "+string(o.Reason()))
	case result.Unknown:
		return front.NewErrorResponse(502, "unknown "+string(o.Reason()))
	case result.Answered:
	}
	return front.NewErrorResponse(500, "none")
}

// localTarget is an in-memory target.
type localTarget struct {
	serve func(ctx context.Context, r call.Request) call.Reply
}

func (l localTarget) Serve(ctx context.Context, r call.Request) call.Reply { return l.serve(ctx, r) }

func newResponse(text string, length int64) call.Response {
	return call.NewResponse(200, []call.Field{call.NewField("Signed", "yes")}, io.NopCloser(strings.NewReader(text)), length)
}

// startServer runs a server that forwards requests to serve, and returns it with its address. timeout
// is that of the route in milliseconds.
func startServer(t *testing.T, timeout clock.Millis, serve func(ctx context.Context, r call.Request) call.Reply) (*front.Server, string) {
	t.Helper()
	return startServerWithHeaderTimeout(t, timeout, rules.DefaultHeaderTimeout, serve)
}

// startServerWithHeaderTimeout is startServer with a limit on the time to receive a request head.
func startServerWithHeaderTimeout(t *testing.T, timeout, head clock.Millis, serve func(ctx context.Context, r call.Request) call.Reply, opts ...front.Option) (*front.Server, string) {
	t.Helper()
	store := snap.NewStore()
	limits := rules.NewLimits(rules.DefaultMaxHeaderBytes, rules.DefaultMaxBodyBytes, head, rules.DefaultIdleTimeout)
	r := rules.New(1, "", rules.NewService("s")).WithLimits(limits).WithRoutes(rules.NewRoute("r", "h", "/p/",
		rules.WithIdempotency(rules.Repeatable{}), rules.WithTimes(timeout, timeout), rules.WithTrafficSplit(rules.NewWeightedService("s", 1))))
	x := table.Empty().With(1, table.NewRulesSet(r), table.NewMemberSet(table.NewMember(7, "i", "z", "a", "s", table.Serving{})))
	store.Publish(snap.New(x, 7, 1<<60, 1<<60))
	f := front.New(append(opts, front.WithDialect(testDialect{}), front.WithRelay(relay.New(relay.WithStore(store), relay.WithLocal(localTarget{serve}),
		relay.WithRetry(retry.Routed{}))))...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = f.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		f.Shutdown(ctx)
	})
	return f, l.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

func readResponse(t *testing.T, r *bufio.Reader) (int, string) {
	t.Helper()
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return a.StatusCode, string(text)
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n" }

// TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder blocks the first request until the last
// one runs.
func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	last := make(chan struct{})
	_, address := startServer(t, 5000, func(_ context.Context, r call.Request) call.Reply {
		switch r.URI() {
		case "/p/1":
			<-last
		case "/p/3":
			close(last)
		}
		return newResponse(r.URI(), 4)
	})
	c, r := dial(t, address)
	_, err := io.WriteString(c, getRequest("/p/1")+getRequest("/p/2")+getRequest("/p/3"))
	is.NoErr(err)
	for n := 1; n <= 3; n++ {
		status, text := readResponse(t, r)
		is.Equal(status, 200)
		is.Equal(text, fmt.Sprintf("/p/%d", n))
	}
}

func TestRequestIsCancelledWhenCallerDisconnects(t *testing.T) {
	ended := make(chan struct{})
	begun := make(chan struct{})
	_, address := startServer(t, 60_000, func(ctx context.Context, _ call.Request) call.Reply {
		close(begun)
		<-ctx.Done()
		close(ended)
		return call.Unknown(result.Cancelled)
	})
	c, _ := dial(t, address)
	_, _ = io.WriteString(c, getRequest("/p/1"))
	<-begun
	_ = c.Close()
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("request still runs 500 ms after its caller disconnected")
	}
}

// TestDeadlineOfStreamedResponseDoesNotAffectLaterOnes guards against lost responses on keep-alive
// connections: the write deadline of a streamed response stayed set and cut off a later one.
func TestDeadlineOfStreamedResponseDoesNotAffectLaterOnes(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, 200, func(context.Context, call.Request) call.Reply { return newResponse("chunks", -1) })
	c, r := dial(t, address)
	for range 3 {
		_, err := io.WriteString(c, getRequest("/p/1"))
		is.NoErr(err)
		status, text := readResponse(t, r)
		is.Equal(status, 200)
		is.Equal(text, "chunks")
		time.Sleep(250 * time.Millisecond)
	}
}

// truncatedBody is a response body that fails after left bytes.
type truncatedBody struct{ left int }

func (b *truncatedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, call.NewError("read", result.Truncated)
	}
	n := min(b.left, len(p))
	b.left -= n
	return n, nil
}

func (*truncatedBody) Close() error { return nil }

func TestTruncatedResponseNeverLooksComplete(t *testing.T) {
	for _, c := range []struct {
		length int64
		left   int
	}{{length: -1, left: 40 << 10}, {length: 90 << 10, left: 40 << 10}, {length: 100, left: 50}, {length: -1, left: 10}} {
		_, address := startServer(t, 2000, func(context.Context, call.Request) call.Reply {
			return call.NewResponse(200, nil, &truncatedBody{left: c.left}, c.length)
		})
		n, r := dial(t, address)
		_, _ = io.WriteString(n, getRequest("/p/1"))
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			continue
		}
		_, err = io.ReadAll(a.Body)
		_ = a.Body.Close()
		if err == nil && a.StatusCode == 200 {
			t.Fatalf("length %d: truncated response looks complete to the caller", c.length)
		}
	}
}

func TestResponseBeforeEndOfBodyClosesConnection(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, 2000, func(context.Context, call.Request) call.Reply { return newResponse("no", 2) })
	c, r := dial(t, address)
	_, err := io.WriteString(c, "POST /p/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nbegin")
	is.NoErr(err)
	status, text := readResponse(t, r)
	is.Equal(status, 200)
	is.Equal(text, "no")
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
}

func TestBodiesOfBothFramingsArrive(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, 2000, func(_ context.Context, r call.Request) call.Reply {
		text, err := io.ReadAll(r.Body())
		if err != nil {
			return call.Unknown(result.Interrupted)
		}
		return newResponse(string(text), int64(len(text)))
	})
	c, r := dial(t, address)
	for _, body := range []string{"Content-Length: 5\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"} {
		_, err := io.WriteString(c, "POST /p/1 HTTP/1.1\r\nHost: h\r\n"+body)
		is.NoErr(err)
		status, text := readResponse(t, r)
		is.Equal(status, 200)
		is.Equal(text, "hello")
	}
}

func TestUnknownRouteAndMalformedHeadAreRefused(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, 2000, func(context.Context, call.Request) call.Reply { return newResponse("x", 1) })
	c, r := dial(t, address)
	_, _ = io.WriteString(c, getRequest("/q/1"))
	status, text := readResponse(t, r)
	is.Equal(status, 503)
	is.Equal(text, "refused unknown-route\n")
	_, _ = io.WriteString(c, "GET /p/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n")
	_, text = readResponse(t, r)
	is.Equal(text, "refused bad-request\n")
}

// TestShutdownAnswersRequestsInFlight guards against connections that are closed without a response:
// a request still in flight at the end of the grace period must get an error response.
func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	is := is.New(t)
	var once sync.Once
	begun := make(chan struct{})
	f, address := startServer(t, 60_000, func(ctx context.Context, _ call.Request) call.Reply {
		once.Do(func() { close(begun) })
		<-ctx.Done()
		return call.Unknown(result.Cancelled)
	})
	c, r := dial(t, address)
	_, _ = io.WriteString(c, getRequest("/p/1"))
	<-begun
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	go f.Shutdown(ctx)
	status, _ := readResponse(t, r)
	is.Equal(status, 502)
}

// TestPipelinedRequestsAreAnsweredAfterKeepAlivesAreDisabled guards against requests that were read
// and then dropped when the connection closed.
func TestPipelinedRequestsAreAnsweredAfterKeepAlivesAreDisabled(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	f, address := startServer(t, 5000, func(_ context.Context, r call.Request) call.Reply {
		<-proceed
		return newResponse(r.URI(), 4)
	})
	c, r := dial(t, address)
	_, _ = io.WriteString(c, getRequest("/p/1")+getRequest("/p/2"))
	time.Sleep(50 * time.Millisecond)
	f.DisableKeepAlives()
	close(proceed)
	for n := 1; n <= 2; n++ {
		status, _ := readResponse(t, r)
		is.Equal(status, 200)
	}
	_, err := r.ReadByte()
	is.Equal(err, io.EOF)
}
