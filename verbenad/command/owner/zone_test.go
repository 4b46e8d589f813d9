package owner_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// TestRequestsOfADrainedZoneEnd has a zone whose keys are closed after 500 ms. A request that runs by then ends as usual,
// one that waited for the target is not sent. Requests without a key are refused at once, also if their entry has not
// learned of the drain.
func TestRequestsOfADrainedZoneEnd(t *testing.T) {
	is := is.New(t)
	keyed, pooled := newFixture(), newFixture(rules.WithKind(rules.Pooled{}))
	for _, f := range []*fixture{keyed, pooled} {
		tbl := f.store.Load().Table().With(2, table.NewZoneDrainSet("z", true))
		f.store.Publish(snap.New(tbl, 7, f.clock.Now()+700, f.clock.Now()+3000, snap.WithKeysEnd(f.clock.Now()+500)))
	}
	is.Equal(outcome(pooled.owner.Serve(context.Background(), call.NewRequest(service, "GET", "/", call.WithMember(7)))), "refused leaving")
	running := keyed.serveAsync(context.Background())
	<-keyed.target.started
	keyed.clock.Advance(499)
	keyed.target.onDial = func() { keyed.clock.Advance(1) }
	is.Equal(keyed.serve(context.Background()), "refused leaving")
	keyed.target.proceed <- struct{}{}
	is.Equal(<-running, "answered")
	is.Equal(keyed.target.calls.Load(), int64(1))
}
