package owner_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
	"verbenabank/verbenad/command/owner"
)

// reporting is a dialect whose responses all carry the same report.
type reporting struct{ report owner.TargetReport }

func (reporting) AddHeaders(r call.Request, _ owner.AttemptInfo) []call.Field { return r.Fields() }

func (reporting) Classify(call.Response, call.Request, owner.AttemptInfo) owner.Classification {
	return owner.Valid{}
}

func (d reporting) TargetReport(call.Response) (owner.TargetReport, bool, error) {
	return d.report, true, nil
}

// TestReportOfTargetIsOneWitness runs requests of 100 ms at a target that reports what nobody else sees, and one that
// reports a machine much slower than usual. The daemon's own count bounds both, and they are forgotten.
func TestReportOfTargetIsOneWitness(t *testing.T) {
	is := is.New(t)
	backlog := func(r owner.TargetReport) (fresh, stale load.Backlog) {
		f := newFixture()
		f.owner = owner.New(owner.WithClock(clock.New(clock.WithSource(f.clock.Now))), owner.WithStore(f.store),
			owner.WithTarget(f.target), owner.WithDialect(reporting{r}))
		f.owner.SetTarget("t", 4)
		f.target.respond = func() call.Response { f.clock.Advance(100); return response(200) }
		for range 20 {
			f.clock.Advance(1000)
			f.publish(table.NewOwned(7, 3), 60_000)
			f.target.proceed <- struct{}{}
			is.Equal(f.serve(context.Background()), "answered")
		}
		fresh = f.owner.Backlog()
		f.clock.Advance(500)
		return fresh, f.owner.Backlog()
	}
	usual, _ := backlog(owner.NewTargetReport(0, 0, 4, 100))
	is.Equal(usual.Running(), 0)
	is.Equal(usual.Work(), clock.Millis(0))
	fresh, stale := backlog(owner.NewTargetReport(1<<20, 1<<20, 4, 1<<20))
	t.Logf("running %d, work %d ms", fresh.Running(), fresh.Work())
	is.Equal(fresh.Running(), 4) // at most its slots
	is.True(fresh.Work() > 300 && fresh.Work() <= 2*4*110)
	is.Equal(stale, usual)
}
