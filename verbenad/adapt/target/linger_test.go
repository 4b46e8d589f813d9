package target_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/adapt/target"
)

func TestCancelledRequestIsDoneOrAbandoned(t *testing.T) {
	for want, serve := range map[string]func(c net.Conn, released <-chan struct{}){
		"done":      func(c net.Conn, _ <-chan struct{}) { _, _ = io.Copy(io.Discard, c) },
		"abandoned": func(_ net.Conn, released <-chan struct{}) { <-released },
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			released := make(chan struct{})
			ctx, cancel := context.WithCancel(context.Background())
			address, _ := startTarget(t, func(c net.Conn, _ *http.Request, _ int64) bool {
				cancel()
				serve(c, released)
				return false
			})
			x, stop := target.New(target.WithLinger(50 * time.Millisecond))
			defer stop()
			x.SetAddress(address)
			got := make(chan string, 2)
			a := call.NewAttempt(func() (call.Request, result.Reason) { return call.NewRequest("s", "POST", "/"), "" },
				func() { got <- "done" }, call.WithOnAbandon(func() { got <- "abandoned" }))
			_, outcome := readReply(x.Send(ctx, a))
			is.Equal(outcome, "unknown cancelled")
			is.Equal(<-got, want)
			close(released)
			time.Sleep(20 * time.Millisecond)
			is.Equal(len(got), 0) // exactly one callback, called once
		})
	}
}
