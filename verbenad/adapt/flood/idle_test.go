package flood

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/adapt/target"
)

// trailingBytes are endless bytes that follow a complete response.
var trailingBytes = map[string]*endlessTarget{
	"not HTTP": {piece: "festoon "}, "not HTTP, slowly": {piece: "festoon ", pause: 2 * time.Millisecond},
	"responses": {piece: completeResponse}, "responses, slowly": {piece: completeResponse, pause: 2 * time.Millisecond},
	"blank lines": {piece: "\r\n"}, "single bytes, slowly": {piece: "\x00", pause: 20 * time.Millisecond},
}

const (
	completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	// arrivalDelay is the time in which bytes after a response arrive.
	arrivalDelay = 50 * time.Millisecond
)

// sendRequest sends a request and returns its outcome as text.
func sendRequest(x *target.Target) string {
	ctx, cancel := context.WithTimeout(context.Background(), fastDeadline)
	defer cancel()
	return readOutcome(x.Send(ctx, call.NewAttempt(func() (call.Request, result.Reason) { return call.NewRequest("s", "GET", "/"), "" }, func() {})))
}

// TestTrailingBytesReachNoRequest checks that a connection with unrequested bytes is not reused: its next
// request would get them as its response.
func TestTrailingBytesReachNoRequest(t *testing.T) {
	for name, k := range trailingBytes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &endlessTarget{prefix: completeResponse, piece: k.piece, pause: k.pause}
			f.start(t)
			x, stop := target.New(target.WithLinger(floodLinger))
			defer stop()
			x.SetAddress(f.address)
			memory := measureHeapGrowth()
			for range 5 {
				is.Equal(sendRequest(x), "answered")
				time.Sleep(arrivalDelay)
			}
			for range 4 {
				f.awaitClose(t)
			}
			is.True(memory() < maxHeapGrowth)
		})
	}
}

// TestIdleConnectionWithTrailingBytesIsClosed checks that the sweep closes such a connection without
// another request.
func TestIdleConnectionWithTrailingBytesIsClosed(t *testing.T) {
	for name, k := range trailingBytes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := &endlessTarget{prefix: completeResponse, piece: k.piece, pause: k.pause}
			f.start(t)
			x, stop := target.New(target.WithLinger(floodLinger))
			defer stop()
			x.SetAddress(f.address)
			is.Equal(sendRequest(x), "answered")
			f.awaitClose(t)
		})
	}
}
