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

func TestGivenUpRequestEndsOnlyIfTheTargetEndsIt(t *testing.T) {
	for want, work := range map[string]func(c net.Conn, over <-chan struct{}){
		"ended":     func(c net.Conn, _ <-chan struct{}) { _, _ = io.Copy(io.Discard, c) },
		"abandoned": func(_ net.Conn, over <-chan struct{}) { <-over },
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			over := make(chan struct{})
			ctx, cancel := context.WithCancel(context.Background())
			address, _ := fake(t, func(c net.Conn, _ *http.Request, _ int64) bool {
				cancel()
				work(c, over)
				return false
			})
			x, stop := target.New(target.WithLinger(50 * time.Millisecond))
			defer stop()
			x.SetAddress(address)
			got := make(chan string, 2)
			w := call.NewAttempt(func() (call.Request, result.Reason) { return call.NewRequest("s", "POST", "/"), "" },
				func() { got <- "ended" }, call.WithOnAbandon(func() { got <- "abandoned" }))
			_, outcome := read(x.Send(ctx, w))
			is.Equal(outcome, "unknown cancelled")
			is.Equal(<-got, want)
			close(over)
			time.Sleep(20 * time.Millisecond)
			is.Equal(len(got), 0) // called once
		})
	}
}
