package owner_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/verbenad/command/owner"
)

const service = "catalogue"

// fakeTarget is a target in memory. It holds each request until the test sends to proceed.
type fakeTarget struct {
	started chan struct{}
	proceed chan struct{}
	running atomic.Int64
	calls   atomic.Int64
	respond func() call.Response
	onDial  func()
}

func newFakeTarget() *fakeTarget {
	return &fakeTarget{started: make(chan struct{}, 1000), proceed: make(chan struct{}, 1000),
		respond: func() call.Response { return response(200) }}
}

func response(status int, fields ...call.Field) call.Response {
	return call.NewResponse(status, fields, io.NopCloser(strings.NewReader("")), 0)
}

func (t *fakeTarget) Send(ctx context.Context, a call.Attempt) call.Reply {
	defer a.Done()
	if t.onDial != nil {
		t.onDial()
	}
	if _, reason := a.Prepare(); reason != "" {
		return call.Refuse(reason)
	}
	t.calls.Add(1)
	t.running.Add(1)
	defer t.running.Add(-1)
	t.started <- struct{}{}
	select {
	case <-t.proceed:
		return t.respond()
	case <-ctx.Done():
		return call.Unknown(result.Cancelled)
	}
}

// fixture is an owner at member 7, with a service of one shard that it owns at epoch 3.
type fixture struct {
	clock  *clock.Manual
	store  *snap.Store
	target *fakeTarget
	owner  *owner.Owner
	rules  []rules.Option
}

func newFixture(opts ...rules.Option) *fixture {
	f := &fixture{clock: clock.NewManual(1000), store: snap.NewStore(), target: newFakeTarget()}
	f.rules = append([]rules.Option{rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), 1))}, opts...)
	f.owner = owner.New(owner.WithClock(clock.New(clock.WithSource(f.clock.Now))), owner.WithStore(f.store), owner.WithTarget(f.target))
	f.publish(table.NewOwned(7, 3), 700)
	return f
}

func (f *fixture) publish(o table.Ownership, lease clock.Millis, opts ...snap.Option) {
	t := table.Empty().With(1,
		table.NewRulesSet(rules.New(1, "", rules.NewService(service, f.rules...))),
		table.NewMemberSet(table.NewMember(7, "i", "z", "", service, table.Serving{})),
		table.NewOwnershipSet(service, 0, o))
	f.store.Publish(snap.New(t, 7, f.clock.Now()+lease, f.clock.Now()+3000, opts...))
}

// drainingShard marks the shard of the tests as draining: it takes no new requests.
func drainingShard() snap.Option {
	return snap.WithDraining(map[snap.ShardRef]bool{snap.NewShardRef(service, 0): true})
}

func (f *fixture) serve(ctx context.Context) string {
	r := call.NewRequest(service, "POST", "/catalogue/k", call.WithKey("k", 0), call.WithMember(7))
	return outcome(f.owner.Serve(ctx, r))
}

// serveAsync serves a request on another goroutine and returns a channel for its outcome.
func (f *fixture) serveAsync(ctx context.Context) <-chan string {
	done := make(chan string, 1)
	go func() { done <- f.serve(ctx) }()
	return done
}

// outcome reads the reply to its end and returns its outcome and the reason.
func outcome(r call.Reply) string {
	switch r := r.(type) {
	case call.Response:
		_, err := io.ReadAll(r.Body())
		_ = r.Body().Close()
		if err != nil {
			return "unknown " + string(call.ReasonOf(err))
		}
		return "answered"
	case call.Failure:
		switch o := r.Outcome().(type) {
		case result.Refused:
			return "refused " + string(o.Reason())
		case result.Unknown:
			return "unknown " + string(o.Reason())
		case result.Answered:
		}
	}
	return ""
}

func TestLeaseLapsesWhileTheRequestWaits(t *testing.T) {
	is := is.New(t)
	f := newFixture(rules.WithSlots(1), rules.WithQueue(5, 10_000))
	first := f.serveAsync(context.Background())
	<-f.target.started
	second := f.serveAsync(context.Background())
	for f.owner.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.clock.Advance(700)
	f.target.proceed <- struct{}{}
	is.Equal(<-first, "unknown lease-lapsed")
	is.Equal(<-second, "refused not-owner")
	is.Equal(f.target.calls.Load(), int64(1))
}

func TestLeaseLapsesWhileTheTargetIsDialled(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.target.onDial = func() { f.clock.Advance(700) }
	is.Equal(f.serve(context.Background()), "refused not-owner")
	is.Equal(f.target.calls.Load(), int64(0))
}

func TestLeaseLapsesWhileTheRequestRuns(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.owner.WatchLeases(ctx)
	done := f.serveAsync(context.Background())
	<-f.target.started
	f.clock.Advance(700)
	f.publish(table.NewOwned(8, 4), 700) // the lease is renewed, but without the shard
	is.Equal(<-done, "unknown lease-lapsed")
	is.Equal(f.target.running.Load(), int64(0)) // it was cancelled
}

func TestMovingShardIsServedUntilItDrains(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	close(f.target.proceed)
	f.publish(table.NewMoving(7, 8, 3), 700)
	is.Equal(f.serve(context.Background()), "answered")
	f.publish(table.NewMoving(7, 8, 3), 700, drainingShard())
	is.Equal(f.serve(context.Background()), "refused not-owner")
}

func TestResponseIsValidWhileTheShardIsMoving(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	done := f.serveAsync(context.Background())
	<-f.target.started
	f.publish(table.NewMoving(7, 8, 3), 700, drainingShard())
	is.Equal(f.serve(context.Background()), "refused not-owner")
	f.target.proceed <- struct{}{}
	is.Equal(<-done, "answered")
}

func TestResponseOfCheckedTargetIsValidAfterLapse(t *testing.T) {
	is := is.New(t)
	f := newFixture(rules.WithFencing(rules.Checked{}))
	done := f.serveAsync(context.Background())
	<-f.target.started
	f.clock.Advance(700)
	f.target.proceed <- struct{}{}
	is.Equal(<-done, "answered")
}

func TestClassificationOfResponses(t *testing.T) {
	stale := call.NewField("Verbena-Refused", "stale")
	for name, c := range map[string]struct {
		rule     rules.Option
		response call.Response
		want     string
	}{
		"shed":              {rules.WithShedding(rules.ShedNotRun{}), response(503), "refused shed"},
		"ambiguous shed":    {rules.WithShedding(rules.ShedAmbiguous{}), response(503), "answered"},
		"stale":             {rules.WithFencing(rules.Checked{}), response(412, stale), "refused not-owner"},
		"stale, unchecked":  {rules.WithFencing(rules.Unchecked{}), response(412, stale), "answered"},
		"412 of the target": {rules.WithFencing(rules.Checked{}), response(412), "answered"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(c.rule)
			f.target.respond = func() call.Response { return c.response }
			f.target.proceed <- struct{}{}
			is.Equal(f.serve(context.Background()), c.want)
		})
	}
}

func TestQueueIsBoundedAndCancellable(t *testing.T) {
	is := is.New(t)
	f := newFixture(rules.WithSlots(1), rules.WithQueue(1, 10_000))
	first := f.serveAsync(context.Background())
	<-f.target.started
	ctx, cancel := context.WithCancel(context.Background())
	second := f.serveAsync(ctx)
	for f.owner.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(f.serve(context.Background()), "refused overloaded")
	cancel()
	is.Equal(<-second, "refused expired")
	is.Equal(f.owner.Waiting(), 0)
	f.target.proceed <- struct{}{}
	is.Equal(<-first, "answered")
	is.Equal(f.owner.InFlight().Total(), 0)
}

// TestNothingRunsAfterARelease publishes a moving shard while requests arrive, and releases it when
// it has drained. A request that reaches the target afterwards would run beside the next owner.
func TestNothingRunsAfterARelease(t *testing.T) {
	for range 200 {
		f := newFixture(rules.WithSlots(8), rules.WithQueue(100, 10_000))
		close(f.target.proceed)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for range 20 {
					f.serve(context.Background())
				}
			})
		}
		released := make(chan struct{})
		var atRelease int64
		f.publish(table.NewMoving(7, 8, 3), 700, drainingShard())
		f.owner.InFlight().OnDrained(service, 0, func() {
			atRelease = f.target.calls.Load()
			if f.target.running.Load() != 0 {
				t.Error("released while a request runs")
			}
			close(released)
		})
		<-released
		wg.Wait()
		if got := f.target.calls.Load(); got != atRelease {
			t.Fatalf("%d requests ran after the release", got-atRelease)
		}
	}
}
