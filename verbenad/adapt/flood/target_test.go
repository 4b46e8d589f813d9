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

// drain reads a reply to its end and returns its outcome as text.
func drain(r call.Reply) string {
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

func TestBytesWithoutEndEndWithTheirRequest(t *testing.T) {
	for name, k := range kinds {
		t.Run(name+" drips", func(t *testing.T) {
			t.Parallel()
			f := &flood{text: k.text, piece: k.piece, pause: 2 * time.Millisecond}
			endure(t, f, floodSettle, dripWait)
		})
		for _, settle := range []time.Duration{0, floodSettle} {
			t.Run(fmt.Sprint(name, " at full speed, settled in ", settle), func(t *testing.T) {
				is := is.New(t)
				f := &flood{text: k.text, piece: k.piece}
				if k.body {
					endure(t, f, settle, dripWait)
					return
				}
				endure(t, f, settle, fastWait)
				is.True(f.sent.Load() < floodBytes)
			})
		}
	}
}

// expiring ends as by a deadline when its parent is cancelled.
type expiring struct{ context.Context }

// Err implements context.Context.
func (e expiring) Err() error {
	if e.Context.Err() == nil {
		return nil
	}
	return context.DeadlineExceeded
}

// endure sends one request to the flood, with a deadline some time after it arrived there, and
// checks how it ends.
func endure(t *testing.T, f *flood, settle, wait time.Duration) {
	is := is.New(t)
	f.start(t)
	x, stop := target.New(target.WithLinger(settle))
	defer stop()
	x.SetAddress(f.address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	arrived := make(chan time.Time, 1)
	go func() {
		<-f.asked
		arrived <- time.Now()
		time.AfterFunc(wait, cancel)
	}()
	given := make(chan struct{}, 2)
	memory := peak()
	o := drain(x.Send(expiring{ctx}, call.NewAttempt(
		func() (call.Request, result.Reason) { return call.NewRequest("s", "GET", "/"), "" },
		func() { given <- struct{}{} })))
	if !strings.HasPrefix(o, "unknown ") {
		t.Fatalf("%s: it is not whole, and it may have run", o)
	}
	took := time.Since(<-arrived)
	is.True(took < min(wait, dripWait)+floodSlack) // also before a deadline that is far away
	select {
	case <-given:
	case <-time.After(settle + floodSlack):
		t.Fatal("the slot is not given back")
	}
	f.awaitClose(t)
	grown := memory()
	t.Logf("%s, %v, %d KiB sent, memory grew by %d KiB", o, took, f.sent.Load()>>10, grown>>10)
	is.True(grown < floodMemory)
}
