package stats_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/stats"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

const service = "catalogue"

// watched returns a gauge of members 1 and 2, of which the first owns shard 5 and
// reported ten times.
func watched() (*stats.Collector, load.ShardRef) {
	g, p := stats.New(0), load.NewShardRef(service, 5)
	for i := range table.Incarnation(2) {
		g.MemberJoined(table.NewMember(i+1, fmt.Sprint("i", i+1), "z", "a", service, table.Serving{}), 0)
	}
	g.HoldingChanged(p, table.NewOwned(1, 1), 0)
	for n := range clock.Millis(10) {
		g.RecordReport(1, report(n), (n+1)*clock.Second)
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
	g.HoldingChanged(p, table.NewMoving(1, 2, 1), 10*clock.Second)
	g.HoldingChanged(p, table.NewOwned(2, 2), 11*clock.Second)
	g.RecordReport(1, report(0), 12*clock.Second)
	trend, _ := g.View().ShardStats(p)
	is.Equal(trend.RequestRate(), 100.0)
	is.Equal(trend.WeightedRate(), 100.0) // the cost is the service's mean
	is.Equal(trend.Moved(), 11*clock.Second)
	is.Equal(trend.PreviousOwner(), "i1")
}

// TestKeyTakesItsLoadAlong places a key alone and returns it.
func TestKeyTakesItsLoadAlong(t *testing.T) {
	is := is.New(t)
	g, p := watched()
	alone := load.NewShardRef(service, table.FirstOverride)
	g.KeyPlaced("tent", p, alone)
	g.HoldingChanged(alone, table.NewOwned(1, 1), 10*clock.Second)
	base, _ := g.View().ShardStats(p)
	key, _ := g.View().ShardStats(alone)
	is.Equal([]float64{base.RequestRate(), key.RequestRate()}, []float64{60, 40})
	g.KeyReturned("tent", p)
	base, _ = g.View().ShardStats(p)
	_, known := g.View().ShardStats(alone)
	is.Equal(base.RequestRate(), 100.0)
	is.True(!known)
}

// TestKeysAreForgotten bounds the keys: one that was in none of the last reports
// is gone. Only what was reported twice is hot.
func TestKeysAreForgotten(t *testing.T) {
	is := is.New(t)
	g, _ := watched()
	for n := range clock.Millis(50) {
		g.RecordReport(1, report(10+n), (11+n)*clock.Second)
	}
	keys := g.View().HotKeys(1)
	is.Equal(len(keys), 1+load.KeyHistorySize)
	is.Equal(keys["tent"].MinRecentShare(), 0.4)
	is.Equal(keys["once59"].MinRecentShare(), 0.0)
}

// TestSilenceIsNoLoad lets a member report nothing, as the idle do.
func TestSilenceIsNoLoad(t *testing.T) {
	is := is.New(t)
	g, p := watched()
	for n := range clock.Millis(120) {
		g.RecordReport(1, load.Report{}, 10*clock.Second+n*200)
	}
	trend, _ := g.View().ShardStats(p)
	is.True(trend.RequestRate() < 5)
	is.Equal(len(g.View().HotKeys(1)), 0)
	g.RecordReport(1, report(0), 36*clock.Second)
	is.Equal(g.View().ObservedSince(service), 36*clock.Second) // watched anew
}
