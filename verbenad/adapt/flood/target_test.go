package flood

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/adapt/target"
)

// readOutcome reads a reply to its end and returns its outcome as text.
func readOutcome(r call.Reply) string {
	var o result.Outcome
	switch r := r.(type) {
	case call.Response:
		defer func() { _ = r.Body().Close() }()
		if _, err := io.Copy(io.Discard, r.Body()); err != nil {
			return "unknown " + string(call.ReasonOf(err))
		}
		return "answered"
	case call.Failure:
		o = r.Outcome()
	}
	switch o := o.(type) {
	case result.Refused:
		return "refused " + string(o.Reason())
	case result.Unknown:
		return "unknown " + string(o.Reason())
	case result.Answered:
	}
	return ""
}

func TestEndlessResponseEndsWithRequest(t *testing.T) {
	for name, k := range kinds {
		t.Run(name+" slowly", func(t *testing.T) {
			t.Parallel()
			f := &endlessTarget{prefix: k.prefix, piece: k.piece, pause: 2 * time.Millisecond}
			checkExchange(t, f, floodLinger, slowDeadline)
		})
		for _, linger := range []time.Duration{0, floodLinger} {
			t.Run(fmt.Sprint(name, " at full speed, linger ", linger), func(t *testing.T) {
				is := is.New(t)
				f := &endlessTarget{prefix: k.prefix, piece: k.piece}
				if k.body {
					checkExchange(t, f, linger, slowDeadline)
					return
				}
				checkExchange(t, f, linger, fastDeadline)
				is.True(f.sent.Load() < maxSentBytes)
			})
		}
	}
}

// deadlineContext reports the cancellation of its parent as an exceeded deadline.
type deadlineContext struct{ context.Context }

// Err implements context.Context.
func (e deadlineContext) Err() error {
	if e.Context.Err() == nil {
		return nil
	}
	return context.DeadlineExceeded
}

// checkExchange sends a request to the endless target, with a deadline that begins when the target has
// received it, and checks that the outcome is unknown, that it is returned in time, and that the attempt ends.
func checkExchange(t *testing.T, f *endlessTarget, linger, deadline time.Duration) {
	is := is.New(t)
	f.start(t)
	x, stop := target.New(target.WithLinger(linger))
	defer stop()
	x.SetAddress(f.address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	arrived := make(chan time.Time, 1)
	go func() {
		<-f.requested
		arrived <- time.Now()
		time.AfterFunc(deadline, cancel)
	}()
	released := make(chan struct{}, 2)
	memory := measureHeapGrowth()
	o := readOutcome(x.Send(deadlineContext{ctx}, call.NewAttempt(
		func() (call.Request, result.Reason) { return call.NewRequest("s", "GET", "/"), "" },
		func() { released <- struct{}{} })))
	if !strings.HasPrefix(o, "unknown ") {
		t.Fatalf("outcome is %s, want unknown: the response is incomplete and the request may have run", o)
	}
	took := time.Since(<-arrived)
	is.True(took < min(deadline, slowDeadline)+floodSlack) // even if the deadline is far away
	select {
	case <-released:
	case <-time.After(linger + floodSlack):
		t.Fatal("the attempt does not end")
	}
	f.awaitClose(t)
	grown := memory()
	t.Logf("%s, %v, %d KiB sent, memory grew by %d KiB", o, took, f.sent.Load()>>10, grown>>10)
	is.True(grown < maxHeapGrowth)
}
