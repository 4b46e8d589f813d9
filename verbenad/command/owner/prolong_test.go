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

// told is one call of an extender.
type told struct {
	until    clock.Millis
	requests []string
}

// extender is a target that notes extensions, each of which it takes when it is asked for.
type extender chan told

func (e extender) Extend(_ context.Context, until clock.Millis, requests []string) bool {
	e <- told{until: until, requests: requests}
	return true
}

// prolonging returns a bench with a target that checks leases and is told of renewals.
func prolonging(t *testing.T) (*bench, extender) {
	b, e := newBench(rules.WithFencing(rules.Checked{})), make(extender)
	b.owner = owner.New(owner.WithClock(clock.New(clock.WithSource(b.clock.Now))), owner.WithStore(b.cell),
		owner.WithTarget(b.sender), owner.WithExtender(e))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); b.owner.ExtendLeases(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return b, e
}

// silent reports whether nothing is extended for a while.
func (e extender) silent() bool {
	select {
	case <-e:
		return false
	case <-time.After(50 * time.Millisecond):
		return true
	}
}

func TestRenewalsReachRunningRequests(t *testing.T) {
	is := is.New(t)
	b, e := prolonging(t)
	first, second := b.begin(context.Background()), b.begin(context.Background())
	<-b.sender.started
	<-b.sender.started
	b.clock.Advance(50)
	b.publish(table.NewOwned(7, 3), 700)
	is.True(e.silent()) // too young
	b.clock.Advance(150)
	b.publish(table.NewOwned(7, 3), 700)
	x := <-e
	is.Equal(x.until, clock.Millis(1900))
	is.Equal(len(x.requests), 2)
	is.True(x.requests[0] != x.requests[1])
	b.publish(table.NewMoving(7, 8, 3), 700)
	is.True(e.silent()) // the same end
	b.clock.Advance(200)
	b.publish(table.NewMoving(7, 8, 3), 700, closed())
	is.Equal((<-e).until, clock.Millis(2100)) // a moving shard is held until it is released
	b.sender.proceed <- struct{}{}
	b.sender.proceed <- struct{}{}
	is.Equal(<-first+<-second, "answeredanswered")
	b.clock.Advance(200)
	b.publish(table.NewOwned(7, 3), 700)
	is.True(e.silent()) // nothing runs
}

func TestNoExtensionWithoutOwnership(t *testing.T) {
	for name, give := range map[string]func(*bench, context.CancelFunc){
		"given up":    func(b *bench, cancel context.CancelFunc) { cancel(); b.publish(table.NewOwned(7, 3), 700) },
		"released":    func(b *bench, _ context.CancelFunc) { b.publish(table.NewOwned(8, 4), 700) },
		"later epoch": func(b *bench, _ context.CancelFunc) { b.publish(table.NewOwned(7, 5), 700) },
		"not a member": func(b *bench, _ context.CancelFunc) {
			b.cell.Publish(snap.New(b.cell.Load().Table(), 0, b.clock.Now()+700, b.clock.Now()+3000))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, e := prolonging(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := b.begin(ctx)
			<-b.sender.started
			b.clock.Advance(300)
			if name == "given up" {
				cancel()
				is.Equal(<-done, "unknown cancelled")
			}
			give(b, cancel)
			is.True(e.silent())
			cancel()
		})
	}
}

// deserter is a target that goes on with a request that was given up.
type deserter struct{ fields chan []call.Field }

func (d deserter) Send(ctx context.Context, w call.Attempt) call.Reply {
	r, _ := w.Prepare()
	d.fields <- r.Fields()
	<-ctx.Done()
	w.Abandon()
	return call.Unknown(result.Cancelled)
}

func TestAbandonedRequestStaysInFlightUntilItsLeaseLapsed(t *testing.T) {
	is := is.New(t)
	b := newBench(rules.WithFencing(rules.Checked{}))
	b.publish(table.NewOwned(7, 3), 120)
	d := deserter{fields: make(chan []call.Field, 1)}
	b.owner = owner.New(owner.WithClock(clock.New(clock.WithSource(b.clock.Now))), owner.WithStore(b.cell), owner.WithTarget(d))
	ctx, cancel := context.WithCancel(context.Background())
	done := b.begin(ctx)
	<-d.fields
	since := time.Now()
	cancel()
	is.Equal(<-done, "unknown cancelled")
	is.Equal(b.owner.InFlight().Total(), 1)
	drained := make(chan struct{})
	b.owner.InFlight().Drained(service, 0, func() { close(drained) })
	<-drained
	is.True(time.Since(since) >= 115*time.Millisecond)
}

func TestEachAttemptHasItsOwnName(t *testing.T) {
	is := is.New(t)
	b := newBench()
	d := deserter{fields: make(chan []call.Field, 2)}
	b.owner = owner.New(owner.WithClock(clock.New(clock.WithSource(b.clock.Now))), owner.WithStore(b.cell), owner.WithTarget(d))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	names := map[string]bool{}
	for range 2 {
		b.owner.Serve(ctx, call.NewRequest(service, "POST", "/catalogue/k", call.WithKey("k", 0), call.WithMember(7),
			call.WithFields([]call.Field{call.NewField(owner.HeaderRequestID, "chosen")})))
		for _, f := range <-d.fields {
			if f.Name() == owner.HeaderRequestID {
				is.True(strings.HasPrefix(f.Value(), "chosen."))
				names[f.Value()] = true
			}
		}
	}
	is.Equal(len(names), 2)
}

func TestKeyUnderAnotherShardIsRefused(t *testing.T) {
	is := is.New(t)
	b := newBench()
	x := b.cell.Load().Table().With(2, table.NewOverrideSet(service, "k", table.FirstOverride),
		table.NewOwnershipSet(service, table.FirstOverride, table.NewOwned(8, 1)))
	b.cell.Publish(snap.New(x, 7, b.clock.Now()+700, b.clock.Now()+3000))
	is.Equal(b.serve(context.Background()), "refused not-owner")
	is.Equal(b.sender.count.Load(), int64(0))
}
