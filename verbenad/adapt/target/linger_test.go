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

// TestCancelledRequestIsDoneOrAbandoned lets a target end a cancelled request, and another one keep it for longer
// than the client lingers. The first has a minute, so that the test does not depend on how fast it is scheduled.
func TestCancelledRequestIsDoneOrAbandoned(t *testing.T) {
	for want, c := range map[string]struct {
		linger time.Duration
		serve  func(c net.Conn, released <-chan struct{})
	}{
		"done":      {time.Minute, func(c net.Conn, _ <-chan struct{}) { _, _ = io.Copy(io.Discard, c) }},
		"abandoned": {50 * time.Millisecond, func(_ net.Conn, released <-chan struct{}) { <-released }},
	} {
		t.Run(want, func(t *testing.T) {
			linger, serve := c.linger, c.serve
			is := is.New(t)
			released := make(chan struct{})
			ctx, cancel := context.WithCancel(context.Background())
			address, _ := startTarget(t, func(c net.Conn, _ *http.Request, _ int64) bool {
				cancel()
				serve(c, released)
				return false
			})
			x, stop := target.New(target.WithLinger(linger))
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
