package backlog_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/backlog"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

func report(running, waiting int) load.Backlog {
	const mean = 100
	return load.NewBacklog(10, running, waiting).WithWork(clock.Millis(mean*(running+waiting)), mean)
}

// TestEstimateMovesToMeanOfReportsAndIsForgotten guards against old figures that count as new ones.
func TestEstimateMovesToMeanOfReportsAndIsForgotten(t *testing.T) {
	is := is.New(t)
	b := backlog.New()
	is.True(!b.Expected(1, 0).Known())
	for now := range clock.Millis(100) {
		b.Record(1, report(10, 0), now*100)
	}
	b.Record(1, report(10, 30), 10_000)
	is.Equal(b.Expected(1, 10_000).Work(), 4000.0)
	is.Equal(b.Expected(1, 10_400).Work(), 3000.0) // a quarter of 10 slots for 400 ms
	settled := b.Expected(1, 13_000)
	is.True(settled.Known() && settled.Work() < 1300)
	is.True(!b.Expected(1, 10_001+backlog.MaxAge).Known())
}

// TestOwnRequestsCountUntilReportOrEnd counts what this daemon sends between two reports.
func TestOwnRequestsCountUntilReportOrEnd(t *testing.T) {
	is := is.New(t)
	b := backlog.New()
	b.Record(1, report(0, 0), 1000)
	first, second := b.Sent(1, 70, 1001), b.Sent(1, 50, 1002)
	is.Equal(b.Expected(1, 1002).Work(), 120.0)
	b.Done(first, 1003)
	is.Equal(b.Expected(1, 1003).Work(), 50.0)
	b.Record(1, report(1, 0), 1004) // it counts the second request
	is.Equal(b.Expected(1, 1004).SentSince(), 0)
	is.Equal(b.Expected(1, 1004).InFlight(), 1)
	b.Done(second, 1005)
	is.Equal(b.Expected(1, 1005).InFlight(), 0)
}

// TestFalseReportsAreBounded guards against reports of any content and number.
func TestFalseReportsAreBounded(t *testing.T) {
	is := is.New(t)
	b := backlog.New()
	b.Record(1, load.NewBacklog(-5, -1, -1), 1)
	is.Equal(b.Len(), 0)
	b.Record(1, load.NewBacklog(1, math.MaxInt32, math.MaxInt32).WithWork(math.MaxInt64, math.MaxInt64), 1)
	wait := b.Expected(1, 1).Wait()
	is.True(wait > 0 && wait <= 60_000)
	for i := range table.Incarnation(5000) {
		b.Record(i, report(1, 0), 2)
	}
	is.Equal(b.Len(), backlog.MaxTargets)
	b.Record(9000, report(1, 0), 2*backlog.MaxAge) // replaces those that are too old
	is.Equal(b.Len(), 1)
}
