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

// faulty is a target whose client panics.
type faulty struct{}

func (faulty) Send(context.Context, call.Attempt) call.Reply { panic("faulty") }

// TestPanicOfARequestFreesItsPlace guards against a stop that waits for a request whose serving panicked, and
// against slots that are lost for good.
func TestPanicOfARequestFreesItsPlace(t *testing.T) {
	is := is.New(t)
	b := newBench(rules.WithSlots(1))
	b.owner = owner.New(owner.WithClock(clock.New(clock.WithSource(b.clock.Now))), owner.WithStore(b.cell), owner.WithTarget(faulty{}))
	for range 3 {
		is.Equal(<-b.begin(context.Background()), text(call.Unknown(result.Interrupted)))
		is.Equal(b.owner.InFlight().Total(), 0)
	}
}
