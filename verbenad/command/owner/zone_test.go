package owner_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// publishDrained publishes that the zone of the fixture is drained, and keys are closed from the given time on.
func (f *fixture) publishDrained(keysEnd clock.Millis) {
	t := f.store.Load().Table().With(2, table.NewZoneDrainSet("z", true))
	f.store.Publish(snap.New(t, 7, f.clock.Now()+700, f.clock.Now()+3000, snap.WithKeysEnd(f.clock.Now()+keysEnd)))
}

// TestKeysOfADrainedZoneAreClosedAtTheLimit has a request that runs when the limit is reached, which ends as usual.
func TestKeysOfADrainedZoneAreClosedAtTheLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.publishDrained(500)
	f.clock.Advance(499)
	f.target.proceed <- struct{}{}
	is.Equal(f.serve(context.Background()), "answered")
	<-f.target.started
	running := f.serveAsync(context.Background())
	<-f.target.started
	f.clock.Advance(1)
	is.Equal(f.serve(context.Background()), "refused leaving")
	f.target.proceed <- struct{}{}
	is.Equal(<-running, "answered")
}

// TestRequestQueuedAtTheLimitIsNotSent guards against a request that was admitted in time and waited for the target.
func TestRequestQueuedAtTheLimitIsNotSent(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.publishDrained(500)
	f.target.onDial = func() { f.clock.Advance(500) }
	is.Equal(f.serve(context.Background()), "refused leaving")
	is.Equal(f.target.calls.Load(), int64(0))
}

// TestPooledTargetsOfADrainedZoneAreRefusedAtOnce covers callers whose daemon has not learned of the drain yet.
func TestPooledTargetsOfADrainedZoneAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(rules.WithKind(rules.Pooled{}))
	serve := func() string {
		return outcome(f.owner.Serve(context.Background(), call.NewRequest(service, "GET", "/", call.WithMember(7))))
	}
	f.target.proceed <- struct{}{}
	is.Equal(serve(), "answered")
	f.publishDrained(500)
	is.Equal(serve(), "refused leaving")
}
