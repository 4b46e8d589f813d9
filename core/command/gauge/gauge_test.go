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

// watched returns a gauge of members 1 and 2, of which the first owns shard 5 and
// reported ten times.
func watched() (*gauge.Gauge, load.Place) {
	g, p := gauge.New(0), load.NewPlace(service, 5)
	for i := range table.Incarnation(2) {
		g.Joined(table.NewMember(i+1, fmt.Sprint("i", i+1), "z", "a", service, table.Serving{}), 0)
	}
	g.Held(p, table.NewOwned(1, 1), 0)
	for n := range clock.Millis(10) {
		g.Report(1, report(n), (n+1)*clock.Second)
	}
	return g, p
}

// report counts 100 requests of shard 5, 40 of them of one key.
func report(n clock.Millis) load.Report {
	keys := []load.Key{load.NewKey("tent", 40), load.NewKey(fmt.Sprint("once", n), 2)}
	return load.NewReport([]load.Shard{load.NewShard(5, 100, 300)}, keys)
}

// TestRatesGoWithTheShard moves a shard: its rate stays, and the reports of the
// former owner count no more.
func TestRatesGoWithTheShard(t *testing.T) {
	is := is.New(t)
	g, p := watched()
	g.Held(p, table.NewMoving(1, 2, 1), 10*clock.Second)
	g.Held(p, table.NewOwned(2, 2), 11*clock.Second)
	g.Report(1, report(0), 12*clock.Second)
	trend, _ := g.View().Trend(p)
	is.Equal(trend.Requests(), 100.0)
	is.Equal(trend.Work(), 100.0) // the cost is the service's mean
	is.Equal(trend.Moved(), 11*clock.Second)
	is.Equal(trend.Former(), "i1")
}

// TestKeyTakesItsLoadAlong places a key alone and returns it.
func TestKeyTakesItsLoadAlong(t *testing.T) {
	is := is.New(t)
	g, p := watched()
	alone := load.NewPlace(service, table.FirstOverride)
	g.Placed("tent", p, alone)
	g.Held(alone, table.NewOwned(1, 1), 10*clock.Second)
	base, _ := g.View().Trend(p)
	key, _ := g.View().Trend(alone)
	is.Equal([]float64{base.Requests(), key.Requests()}, []float64{60, 40})
	g.Returned("tent", p)
	base, _ = g.View().Trend(p)
	_, known := g.View().Trend(alone)
	is.Equal(base.Requests(), 100.0)
	is.True(!known)
}

// TestKeysAreForgotten bounds the keys: one that was in none of the last reports
// is gone. Only what was reported twice is hot.
func TestKeysAreForgotten(t *testing.T) {
	is := is.New(t)
	g, _ := watched()
	for n := range clock.Millis(50) {
		g.Report(1, report(10+n), (11+n)*clock.Second)
	}
	keys := g.View().Keys(1)
	is.Equal(len(keys), 1+load.HeatReports)
	is.Equal(keys["tent"].Low(), 0.4)
	is.Equal(keys["once59"].Low(), 0.0)
}

// TestSilenceIsNoLoad lets a member report nothing, as the idle do.
func TestSilenceIsNoLoad(t *testing.T) {
	is := is.New(t)
	g, p := watched()
	for n := range clock.Millis(120) {
		g.Report(1, load.Report{}, 10*clock.Second+n*200)
	}
	trend, _ := g.View().Trend(p)
	is.True(trend.Requests() < 5)
	is.Equal(len(g.View().Keys(1)), 0)
	g.Report(1, report(0), 36*clock.Second)
	is.Equal(g.View().Began(service), 36*clock.Second) // watched anew
}
