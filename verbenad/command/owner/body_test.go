package owner_test

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/verbenad/command/owner"
)

// slowLink is the rate in Mbit/s of a link that a single body fills.
const slowLink = 5.8

// notifyingReader is a body at another daemon that signals its first read.
type notifyingReader struct {
	io.Reader
	firstRead chan struct{}
	notified  bool
}

func (r *notifyingReader) Read(p []byte) (int, error) {
	if !r.notified {
		r.notified = true
		r.firstRead <- struct{}{}
	}
	return r.Reader.Read(p)
}

// newRemoteBodyServer returns a target with one slot, and a function that serves a request whose body
// is at another daemon, over a link of the rate.
func newRemoteBodyServer(rate float64) (*fakeTarget, func(body io.Reader) <-chan string) {
	c, store, ft := clock.New(), snap.NewStore(), newFakeTarget()
	o := owner.New(owner.WithClock(c), owner.WithStore(store), owner.WithTarget(ft), owner.WithLink(rate, 64<<10))
	store.Publish(snap.New(table.Empty().With(1,
		table.NewRulesSet(rules.New(1, "", rules.NewService(service, rules.WithSlots(1)))),
		table.NewMemberSet(table.NewMember(7, "i", "z", "", service, table.Serving{}))), 7, c.Now()+60_000, c.Now()+60_000))
	return ft, func(body io.Reader) <-chan string {
		done := make(chan string, 1)
		r := call.NewRequest(service, "POST", "/", call.WithMember(7), call.WithPolicy(1, 5*clock.Second, false),
			call.WithBody(body, -1), call.WithRemoteBody(true))
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			done <- outcome(o.Serve(ctx, r))
		}()
		return done
	}
}

// receives reports whether c delivers a value within the timeout.
func receives(c <-chan struct{}, timeout time.Duration) bool {
	select {
	case <-c:
		return true
	case <-time.After(timeout):
		return false
	}
}

// servePair serves two requests on a slow link. The body of the first one ends when first is closed.
func servePair(t *testing.T) (ft *fakeTarget, firstRead chan struct{}, first io.Closer, outcomes [2]<-chan string) {
	t.Helper()
	ft, serve := newRemoteBodyServer(slowLink)
	firstRead = make(chan struct{}, 2)
	pr, pw := io.Pipe()
	outcomes[0] = serve(&notifyingReader{Reader: pr, firstRead: firstRead})
	if !receives(firstRead, time.Second) {
		t.Fatal("the first body is not read")
	}
	outcomes[1] = serve(&notifyingReader{Reader: strings.NewReader("photo"), firstRead: firstRead})
	return ft, firstRead, pw, outcomes
}

// TestBodiesAreFetchedOneByOneOnASlowLink guards against bodies that delay other messages: nine bodies
// at once filled a slow link for 0.75 s, and requests with a deadline of 0.6 s waited behind them.
func TestBodiesAreFetchedOneByOneOnASlowLink(t *testing.T) {
	is := is.New(t)
	ft, firstRead, first, outcomes := servePair(t)
	is.True(!receives(firstRead, 50*time.Millisecond))
	is.Equal(ft.calls.Load(), int64(0)) // no slot is taken while the body is in transit
	is.NoErr(first.Close())
	is.True(receives(firstRead, time.Second))
	ft.proceed <- struct{}{}
	ft.proceed <- struct{}{}
	is.Equal(<-outcomes[0], "answered")
	is.Equal(<-outcomes[1], "answered")
}

func TestStalledBodyDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	ft, _, first, outcomes := servePair(t)
	ft.proceed <- struct{}{}
	is.Equal(<-outcomes[1], "answered")
	is.NoErr(first.Close())
	ft.proceed <- struct{}{}
	is.Equal(<-outcomes[0], "answered")
}

func TestBodiesAreNotLimitedOnAFastLink(t *testing.T) {
	is := is.New(t)
	ft, serve := newRemoteBodyServer(1000)
	first := serve(strings.NewReader("photo"))
	<-ft.started
	ft.proceed <- struct{}{}
	is.Equal(<-first, "answered")
}

// boundedBody is an endless body that grants some memory, and counts what is read of it.
type boundedBody struct {
	granted, read atomic.Int64
}

func (b *boundedBody) Read(p []byte) (int, error) {
	b.read.Add(int64(len(p)))
	return len(p), nil
}

func (b *boundedBody) TakeMemory(n int64) bool { return b.granted.Add(-n) >= 0 }

// TestBodiesAreReadAheadWithinTheirMemory guards against uploads of other daemons that fill the memory while they wait for a
// slot, 512 KB each. Without memory a request waits for its slot with the rest of its body unread.
func TestBodiesAreReadAheadWithinTheirMemory(t *testing.T) {
	is := is.New(t)
	ft, serve := newRemoteBodyServer(slowLink)
	body := &boundedBody{}
	body.granted.Store(200 << 10)
	served := serve(body)
	<-ft.started
	t.Logf("%d bytes read ahead", body.read.Load())
	is.True(body.read.Load() <= 160<<10)
	ft.proceed <- struct{}{}
	is.Equal(<-served, "answered")
}
