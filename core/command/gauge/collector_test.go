package gauge_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/gauge"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

const service = "catalogue"

// newObserved returns a collector with the members 1 and 2, of which the first owns shard 5 and has
// reported ten times.
func newObserved() (*gauge.Gauge, load.Place) {
	co, p := gauge.New(0), load.NewPlace(service, 5)
	for i := range table.Incarnation(2) {
		co.Joined(table.NewMember(i+1, fmt.Sprint("i", i+1), "z", "a", service, table.Serving{}), 0)
	}
	co.Held(p, table.NewOwned(1, 1), 0)
	for n := range clock.Millis(10) {
		co.Report(1, report(n), (n+1)*clock.Second)
	}
	return co, p
}

// report returns a report of 100 requests to shard 5, 40 of them for one key.
func report(n clock.Millis) load.Report {
	keys := []load.Key{load.NewKey("tent", 40), load.NewKey(fmt.Sprint("once", n), 2)}
	return load.NewReport([]load.Shard{load.NewShard(5, 100, 300)}, keys)
}

// TestShardKeepsItsRateWhenItMoves moves a shard: its rate is kept, and later reports of the former
// owner do not count.
func TestShardKeepsItsRateWhenItMoves(t *testing.T) {
	is := is.New(t)
	co, p := newObserved()
	co.Held(p, table.NewMoving(1, 2, 1), 10*clock.Second)
	co.Held(p, table.NewOwned(2, 2), 11*clock.Second)
	co.Report(1, report(0), 12*clock.Second)
	trend, _ := co.View().Trend(p)
	is.Equal(trend.Requests(), 100.0)
	is.Equal(trend.Work(), 100.0) // the cost is the mean of the service
	is.Equal(trend.Moved(), 11*clock.Second)
	is.Equal(trend.Former(), "i1")
}

// TestLoadOfAKeyMovesWithIt moves a key to a shard of its own and back.
func TestLoadOfAKeyMovesWithIt(t *testing.T) {
	is := is.New(t)
	co, p := newObserved()
	alone := load.NewPlace(service, table.FirstOverride)
	co.Placed("tent", p, alone)
	co.Held(alone, table.NewOwned(1, 1), 10*clock.Second)
	base, _ := co.View().Trend(p)
	key, _ := co.View().Trend(alone)
	is.Equal([]float64{base.Requests(), key.Requests()}, []float64{60, 40})
	co.Returned("tent", p)
	base, _ = co.View().Trend(p)
	_, known := co.View().Trend(alone)
	is.Equal(base.Requests(), 100.0)
	is.True(!known)
}

// TestInactiveKeysAreRemoved checks that the number of keys is bounded: a key that appeared in none of
// the last reports is removed. Only keys that were reported twice are hot.
func TestInactiveKeysAreRemoved(t *testing.T) {
	is := is.New(t)
	co, _ := newObserved()
	for n := range clock.Millis(50) {
		co.Report(1, report(10+n), (11+n)*clock.Second)
	}
	keys := co.View().Keys(1)
	is.Equal(len(keys), 1+load.HeatReports)
	is.Equal(keys["tent"].Low(), 0.4)
	is.Equal(keys["once59"].Low(), 0.0)
}

// TestIdleMemberHasNoLoad lets a member send empty reports only, as idle members do.
func TestIdleMemberHasNoLoad(t *testing.T) {
	is := is.New(t)
	co, p := newObserved()
	for n := range clock.Millis(120) {
		co.Report(1, load.Report{}, 10*clock.Second+n*200)
	}
	trend, _ := co.View().Trend(p)
	is.True(trend.Requests() < 5)
	is.Equal(len(co.View().Keys(1)), 0)
	co.Report(1, report(0), 36*clock.Second)
	is.Equal(co.View().Began(service), 36*clock.Second) // the observation starts anew
}
