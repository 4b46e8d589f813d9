package front_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
)

// TestStreamedResponseContinuesAfterBodyIsAbandoned guards against truncated responses: abandoning the
// rest of a request body cancelled all requests of the connection.
func TestStreamedResponseContinuesAfterBodyIsAbandoned(t *testing.T) {
	is := is.New(t)
	source, target := io.Pipe()
	_, address := startServer(t, 5000, func(ctx context.Context, r call.Request) call.Reply {
		_, _ = io.ReadFull(r.Body(), make([]byte, len("begin")))
		go func() { _, _ = io.Copy(io.Discard, r.Body()) }()
		time.Sleep(50 * time.Millisecond) // until the server waits for the rest of the body
		context.AfterFunc(ctx, func() { _ = target.CloseWithError(call.NewError("read", result.Cancelled)) })
		return call.NewResponse(200, nil, source, -1)
	})
	c, r := dial(t, address)
	_, err := io.WriteString(c, "POST /p/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nbegin")
	is.NoErr(err)
	go func() {
		_, _ = target.Write(make([]byte, 20<<10))
		time.Sleep(100 * time.Millisecond)
		_, _ = target.Write(make([]byte, 20<<10))
		_ = target.Close()
	}()
	a, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	defer func() { _ = a.Body.Close() }()
	content, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(len(content), 40<<10)
}

// TestHeaderTimeoutDoesNotCancelEarlierRequest guards against lost responses: when the head of the next
// request timed out, the requests in flight were cancelled.
func TestHeaderTimeoutDoesNotCancelEarlierRequest(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	_, address := startServerWithHeaderTimeout(t, 5000, 100, func(ctx context.Context, _ call.Request) call.Reply {
		close(begun)
		select {
		case <-ctx.Done():
			return call.Unknown(result.Cancelled)
		case <-time.After(300 * time.Millisecond):
			return newResponse("whole", 5)
		}
	})
	c, r := dial(t, address)
	_, err := io.WriteString(c, getRequest("/p/1"))
	is.NoErr(err)
	<-begun
	_, err = io.WriteString(c, "GET /p/2 HTTP/1.1\r\nHo")
	is.NoErr(err)
	status, text := readResponse(t, r)
	is.Equal(status, 200)
	is.Equal(text, "whole")
}

// TestConnectionClosesAtOnceAfterLastResponse guards against a race that kept a connection open until
// its reader timed out: the last response was written before the reader began to wait for the next
// request, so nothing woke it.
func TestConnectionClosesAtOnceAfterLastResponse(t *testing.T) {
	f, address := startServer(t, 5000, func(_ context.Context, r call.Request) call.Reply {
		_, _ = io.ReadAll(r.Body())
		return call.NewResponse(200, nil, &truncatedBody{}, 5)
	})
	f.DisableKeepAlives()
	for range 500 {
		c, r := dial(t, address)
		_, _ = io.WriteString(c, "POST /p/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
		_, _ = readResponse(t, r)
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		if _, err := r.ReadByte(); err != io.EOF {
			t.Fatalf("connection is still open 2 s after its last response: %v", err)
		}
		_ = c.Close()
	}
}
