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

// newObserved returns a collector with the members 1 and 2, of which the first owns shard 5 and has
// reported ten times.
func newObserved() (*stats.Collector, load.ShardRef) {
	co, p := stats.New(0), load.NewShardRef(service, 5)
	for i := range table.Incarnation(2) {
		co.MemberJoined(table.NewMember(i+1, fmt.Sprint("i", i+1), "z", "a", service, table.Serving{}), 0)
	}
	co.OwnershipChanged(p, table.NewOwned(1, 1), 0)
	for n := range clock.Millis(10) {
		co.RecordReport(1, report(n), (n+1)*clock.Second)
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
	co.OwnershipChanged(p, table.NewMoving(1, 2, 1), 10*clock.Second)
	co.OwnershipChanged(p, table.NewOwned(2, 2), 11*clock.Second)
	co.RecordReport(1, report(0), 12*clock.Second)
	shard, _ := co.View().ShardStats(p)
	is.Equal(shard.RequestRate(), 100.0)
	is.Equal(shard.WeightedRate(), 100.0) // the cost is the mean of the service
	is.Equal(shard.Moved(), 11*clock.Second)
	is.Equal(shard.PreviousOwner(), "i1")
}

// TestLoadOfAKeyMovesWithIt moves a key to a shard of its own and back.
func TestLoadOfAKeyMovesWithIt(t *testing.T) {
	is := is.New(t)
	co, p := newObserved()
	dedicated := load.NewShardRef(service, table.FirstOverride)
	co.KeyPlaced("tent", p, dedicated)
	co.OwnershipChanged(dedicated, table.NewOwned(1, 1), 10*clock.Second)
	base, _ := co.View().ShardStats(p)
	key, _ := co.View().ShardStats(dedicated)
	is.Equal([]float64{base.RequestRate(), key.RequestRate()}, []float64{60, 40})
	co.KeyReturned("tent", p)
	base, _ = co.View().ShardStats(p)
	_, known := co.View().ShardStats(dedicated)
	is.Equal(base.RequestRate(), 100.0)
	is.True(!known)
}

// TestInactiveKeysAreRemoved checks that the number of keys is bounded: a key that appeared in none of
// the last reports is removed. Only keys that were reported twice are hot.
func TestInactiveKeysAreRemoved(t *testing.T) {
	is := is.New(t)
	co, _ := newObserved()
	for n := range clock.Millis(50) {
		co.RecordReport(1, report(10+n), (11+n)*clock.Second)
	}
	keys := co.View().HotKeys(1)
	is.Equal(len(keys), 1+load.KeyHistorySize)
	is.Equal(keys["tent"].MinRecentShare(), 0.4)
	is.Equal(keys["once59"].MinRecentShare(), 0.0)
}

// TestIdleMemberHasNoLoad lets a member send empty reports only, as idle members do.
func TestIdleMemberHasNoLoad(t *testing.T) {
	is := is.New(t)
	co, p := newObserved()
	for n := range clock.Millis(120) {
		co.RecordReport(1, load.Report{}, 10*clock.Second+n*200)
	}
	shard, _ := co.View().ShardStats(p)
	is.True(shard.RequestRate() < 5)
	is.Equal(len(co.View().HotKeys(1)), 0)
	co.RecordReport(1, report(0), 36*clock.Second)
	is.Equal(co.View().ObservedSince(service), 36*clock.Second) // the observation starts anew
}
