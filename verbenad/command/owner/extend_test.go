package owner_test

import (
	"context"
	"strings"
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

// extension is one call of Extend.
type extension struct {
	leaseEnd clock.Millis
	requests []string
}

// fakeExtender passes each extension to the test, which must receive it.
type fakeExtender chan extension

func (e fakeExtender) Extend(_ context.Context, leaseEnd clock.Millis, requests []string) bool {
	e <- extension{leaseEnd: leaseEnd, requests: requests}
	return true
}

// newExtendingFixture returns a fixture whose target checks leases and gets extensions.
func newExtendingFixture(t *testing.T) (*fixture, fakeExtender) {
	f, e := newFixture(rules.WithFencing(rules.Checked{})), make(fakeExtender)
	f.owner = owner.New(owner.WithClock(clock.New(clock.WithSource(f.clock.Now))), owner.WithStore(f.store),
		owner.WithTarget(f.target), owner.WithExtender(e))
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); f.owner.ExtendLeases(ctx) }()
	t.Cleanup(func() { cancel(); <-stopped })
	return f, e
}

// idle reports whether there is no extension for 50 ms.
func (e fakeExtender) idle() bool {
	select {
	case <-e:
		return false
	case <-time.After(50 * time.Millisecond):
		return true
	}
}

func TestRenewalsReachRunningRequests(t *testing.T) {
	is := is.New(t)
	f, e := newExtendingFixture(t)
	first, second := f.serveAsync(context.Background()), f.serveAsync(context.Background())
	<-f.target.started
	<-f.target.started
	f.clock.Advance(50)
	f.publish(table.NewOwned(7, 3), 700)
	is.True(e.idle()) // the requests are younger than the minimum age
	f.clock.Advance(150)
	f.publish(table.NewOwned(7, 3), 700)
	ext := <-e
	is.Equal(ext.leaseEnd, clock.Millis(1900))
	is.Equal(len(ext.requests), 2)
	is.True(ext.requests[0] != ext.requests[1])
	f.publish(table.NewMoving(7, 8, 3), 700)
	is.True(e.idle()) // the lease end is the same
	f.clock.Advance(200)
	f.publish(table.NewMoving(7, 8, 3), 700, drainingShard())
	is.Equal((<-e).leaseEnd, clock.Millis(2100)) // a moving shard is owned until it is released
	f.target.proceed <- struct{}{}
	f.target.proceed <- struct{}{}
	is.Equal(<-first+<-second, "answeredanswered")
	f.clock.Advance(200)
	f.publish(table.NewOwned(7, 3), 700)
	is.True(e.idle()) // no request is running
}

func TestNoExtensionWithoutOwnership(t *testing.T) {
	for name, loseOwnership := range map[string]func(*fixture, context.CancelFunc){
		"abandoned":   func(f *fixture, cancel context.CancelFunc) { cancel(); f.publish(table.NewOwned(7, 3), 700) },
		"released":    func(f *fixture, _ context.CancelFunc) { f.publish(table.NewOwned(8, 4), 700) },
		"later epoch": func(f *fixture, _ context.CancelFunc) { f.publish(table.NewOwned(7, 5), 700) },
		"not a member": func(f *fixture, _ context.CancelFunc) {
			f.store.Publish(snap.New(f.store.Load().Table(), 0, f.clock.Now()+700, f.clock.Now()+3000))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, e := newExtendingFixture(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := f.serveAsync(ctx)
			<-f.target.started
			f.clock.Advance(300)
			if name == "abandoned" {
				cancel()
				is.Equal(<-done, "unknown cancelled")
			}
			loseOwnership(f, cancel)
			is.True(e.idle())
			cancel()
		})
	}
}

// lingeringTarget is a target that goes on with abandoned requests.
type lingeringTarget struct{ fields chan []call.Field }

func (l lingeringTarget) Send(ctx context.Context, a call.Attempt) call.Reply {
	r, _ := a.Prepare()
	l.fields <- r.Fields()
	<-ctx.Done()
	a.Abandon()
	return call.Unknown(result.Cancelled)
}

func TestAbandonedRequestStaysInFlightUntilItsLeaseLapsed(t *testing.T) {
	is := is.New(t)
	f := newFixture(rules.WithFencing(rules.Checked{}))
	f.publish(table.NewOwned(7, 3), 120)
	l := lingeringTarget{fields: make(chan []call.Field, 1)}
	f.owner = owner.New(owner.WithClock(clock.New(clock.WithSource(f.clock.Now))), owner.WithStore(f.store), owner.WithTarget(l))
	ctx, cancel := context.WithCancel(context.Background())
	done := f.serveAsync(ctx)
	<-l.fields
	start := time.Now()
	cancel()
	is.Equal(<-done, "unknown cancelled")
	is.Equal(f.owner.InFlight().Total(), 1)
	drained := make(chan struct{})
	f.owner.InFlight().OnDrained(service, 0, func() { close(drained) })
	<-drained
	is.True(time.Since(start) >= 115*time.Millisecond)
}

func TestEachAttemptHasItsOwnID(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	l := lingeringTarget{fields: make(chan []call.Field, 2)}
	f.owner = owner.New(owner.WithClock(clock.New(clock.WithSource(f.clock.Now))), owner.WithStore(f.store), owner.WithTarget(l))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ids := map[string]bool{}
	for range 2 {
		f.owner.Serve(ctx, call.NewRequest(service, "POST", "/catalogue/k", call.WithKey("k", 0), call.WithMember(7),
			call.WithFields([]call.Field{call.NewField(owner.HeaderRequestID, "chosen")})))
		for _, h := range <-l.fields {
			if h.Name() == owner.HeaderRequestID {
				is.True(strings.HasPrefix(h.Value(), "chosen."))
				ids[h.Value()] = true
			}
		}
	}
	is.Equal(len(ids), 2)
}

func TestKeyUnderAnotherShardIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	moved := f.store.Load().Table().With(2, table.NewOverrideSet(service, "k", table.FirstOverride),
		table.NewOwnershipSet(service, table.FirstOverride, table.NewOwned(8, 1)))
	f.store.Publish(snap.New(moved, 7, f.clock.Now()+700, f.clock.Now()+3000))
	is.Equal(f.serve(context.Background()), "refused not-owner")
	is.Equal(f.target.calls.Load(), int64(0))
}
