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

// TestEarlyStreamedAnswerOutlivesTheBodyThatIsLeft guards against answers that were broken off:
// giving up what was left of the body ended all requests of the connection.
func TestEarlyStreamedAnswerOutlivesTheBodyThatIsLeft(t *testing.T) {
	is := is.New(t)
	source, target := io.Pipe()
	_, address := start(t, 5000, func(ctx context.Context, r call.Request) call.Reply {
		_, _ = io.ReadFull(r.Body(), make([]byte, len("begin")))
		go func() { _, _ = io.Copy(io.Discard, r.Body()) }()
		time.Sleep(50 * time.Millisecond) // the rest of the body is awaited
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

// TestSlowHeadBehindARequestDoesNotEndIt guards against requests that lost their answers since the
// head of the next one stood still.
func TestSlowHeadBehindARequestDoesNotEndIt(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	_, address := startWithin(t, 5000, 100, func(ctx context.Context, _ call.Request) call.Reply {
		close(begun)
		select {
		case <-ctx.Done():
			return call.Unknown(result.Cancelled)
		case <-time.After(300 * time.Millisecond):
			return answer("whole", 5)
		}
	})
	c, r := dial(t, address)
	_, err := io.WriteString(c, ask("/p/1"))
	is.NoErr(err)
	<-begun
	_, err = io.WriteString(c, "GET /p/2 HTTP/1.1\r\nHo")
	is.NoErr(err)
	status, text := read(t, r)
	is.Equal(status, 200)
	is.Equal(text, "whole")
}

// TestConnectionEndsAtOnceAfterItsLastAnswer guards against connections that stayed open for the
// time of a head: their last answer was written before the next request was waited for.
func TestConnectionEndsAtOnceAfterItsLastAnswer(t *testing.T) {
	f, address := start(t, 5000, func(_ context.Context, r call.Request) call.Reply {
		_, _ = io.ReadAll(r.Body())
		return call.NewResponse(200, nil, &breaking{}, 5)
	})
	f.DisableKeepAlives()
	for range 500 {
		c, r := dial(t, address)
		_, _ = io.WriteString(c, "POST /p/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
		_, _ = read(t, r)
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		if _, err := r.ReadByte(); err != io.EOF {
			t.Fatalf("the connection is open 2 s after its last answer: %v", err)
		}
		_ = c.Close()
	}
}
