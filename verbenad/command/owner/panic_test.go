package owner_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/verbenad/command/owner"
)

// panickingTarget is the client of a target, and panics on each request.
type panickingTarget struct{}

func (panickingTarget) Send(context.Context, call.Attempt) call.Reply { panic("faulty") }

// TestPanicReleasesSlotAndInFlightCount guards against a shutdown that waits for a request that
// panicked, and against slots that are never given back.
func TestPanicReleasesSlotAndInFlightCount(t *testing.T) {
	is := is.New(t)
	f := newFixture(rules.WithSlots(1))
	f.owner = owner.New(owner.WithClock(clock.New(clock.WithSource(f.clock.Now))), owner.WithStore(f.store), owner.WithTarget(panickingTarget{}))
	for range 3 {
		is.Equal(<-f.serveAsync(context.Background()), outcome(call.Unknown(result.Interrupted)))
		is.Equal(f.owner.InFlight().Total(), 0)
	}
}
