package place_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/query/place"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// The weights of the two users' services that are divided by key.
var (
	midlands  = rules.NewWeights(8, 1, 2)
	tullahoma = rules.NewWeights(1, 8, 2)
)

// day moves a hot key, kills a member that comes back, lets one join and one
// leave.
func day(y place.Policy, seed uint64, w rules.Weights) result {
	d := newWorld(y, seed, w, 1, 4)
	d.run(10 * clock.Second)
	d.hot, d.percent = "k700", 30
	d.run(22 * clock.Second)
	d.hot = "k1500"
	d.run(34 * clock.Second)
	d.hot = ""
	d.kill(2)
	d.run(45 * clock.Second)
	d.join("i1")
	d.run(60 * clock.Second)
	d.join("i9")
	d.run(75 * clock.Second)
	d.leave(3)
	d.run(90 * clock.Second)
	return d.result
}

func (r result) ratio() float64 { return r.imbalance / r.windows }

// days sums a policy's days of seeds 1 to 5.
func days(t *testing.T, name string, y place.Policy, w rules.Weights) result {
	var sum result
	for seed := range uint64(5) {
		r := day(y, seed+1, w)
		t.Logf("%-18s seed %d: imbalance %.2f, keys moved %5d (%5d by choice), missing %4.1f s/key, vacant %d ms", name, seed+1, r.ratio(), r.churn, r.chosen, float64(r.missing)/1000/keyCount, r.vacant)
		sum.imbalance += r.imbalance
		sum.windows += r.windows
		sum.churn += r.churn
		sum.chosen += r.chosen
		sum.missing += r.missing
		sum.vacant += r.vacant
	}
	return sum
}

// TestPoliciesCompared weighs the policies on the same days. The orders asserted
// follow from the weights alone.
func TestPoliciesCompared(t *testing.T) {
	is := is.New(t)
	static := days(t, "static", place.Static{}, midlands)
	even := days(t, "even", place.Even{}, midlands)
	m := days(t, "priced midlands", place.CostBased{}, midlands)
	s := days(t, "priced tullahoma", place.CostBased{}, tullahoma)
	is.True(m.ratio() < even.ratio())                          // load beats counts
	is.True(m.ratio() < s.ratio())                             // who pays more for churn gets less balance
	is.True(s.ratio() < static.ratio())                        // but some
	is.True(2*s.chosen < m.chosen)                             // churn weighs 8 times as much
	is.True(s.chosen < even.chosen)                            // who weighs churn most moves less than counting does
	is.Equal(m.vacant+s.vacant+static.vacant, clock.Millis(0)) // the vacant are granted at once
}

// TestNoiseMovesNothing runs an even load, whose arrivals are random.
func TestNoiseMovesNothing(t *testing.T) {
	for seed := range uint64(10) {
		d := newWorld(place.CostBased{}, seed, midlands, 0, 4)
		d.run(5 * clock.Second)
		before := d.result.churn
		d.run(65 * clock.Second)
		if moved := d.result.churn - before; moved > 0 {
			t.Errorf("seed %d: %d keys moved", seed, moved)
		}
	}
}

// TestJoinerTakesAGrowingShare looks at a member that joins a loaded service:
// something at once, not all at once, and its share in the end.
func TestJoinerTakesAGrowingShare(t *testing.T) {
	is := is.New(t)
	d := newWorld(place.CostBased{}, 1, midlands, 0, 4)
	d.run(10 * clock.Second)
	joiner := d.join("i9")
	d.run(10500 * clock.Millisecond)
	early := d.share(joiner)
	is.True(early > 0 && early < 0.12) // a part of its fifth
	d.run(30 * clock.Second)
	is.True(d.share(joiner) > 0.12)
}

// TestVacantGoByLoad kills a member beside one with a hot key: its shards go to
// those with little load, though they have as many shards.
func TestVacantGoByLoad(t *testing.T) {
	is := is.New(t)
	d := newWorld(place.Static{}, 1, midlands, 0, 4)
	d.hot, d.percent = "k700", 40
	d.run(10 * clock.Second)
	busy := d.owner("k700")
	before := d.share(busy)
	d.policy = place.CostBased{}
	d.kill(busy%4 + 1)
	is.Equal(d.result.vacant, clock.Millis(0)) // granted at once
	is.True(d.share(busy) <= before)
}

// TestHotKeyIsPlacedAndReturned lets a key get hot and cold.
func TestHotKeyIsPlacedAndReturned(t *testing.T) {
	is := is.New(t)
	d := newWorld(place.CostBased{}, 1, midlands, 0, 4)
	d.run(20 * clock.Second)
	is.Equal(len(d.fleet.Table().Overrides(service)), 0) // none is hot
	d.hot, d.percent = "k700", 40
	d.run(24 * clock.Second)
	is.Equal(len(d.fleet.Table().Overrides(service)), 1) // alone
	is.Equal(d.fleet.Table().Overrides(service)[0].Key(), "k700")
	d.hot = ""
	d.run(28 * clock.Second)
	is.Equal(len(d.fleet.Table().Overrides(service)), 1) // not long cold
	d.run(60 * clock.Second)
	away := len(d.fleet.Table().Overrides(service)) > 0
	home := d.owner("k700") == d.ownerOf(table.HashShard("k700", ranges))
	is.True(!away || !home) // back, or left where it is
}

// TestReturnPrefersFormerShards lets an instance come back: most of what it gets
// was its own before, and it gets no more than its share.
func TestReturnPrefersFormerShards(t *testing.T) {
	is := is.New(t)
	d := newWorld(place.CostBased{}, 1, midlands, 0, 4)
	d.run(10 * clock.Second)
	former := map[table.Shard]bool{}
	for s := range table.Shard(ranges) {
		former[s] = d.ownerOf(s) == 2
	}
	d.kill(2)
	d.run(25 * clock.Second)
	again := d.join("i1")
	d.run(50 * clock.Second)
	owned, own := 0, 0
	for s := range table.Shard(ranges) {
		if d.ownerOf(s) == again {
			owned++
			if former[s] {
				own++
			}
		}
	}
	t.Logf("%d shards, %d of them its own before", owned, own)
	is.True(owned > 0 && 2*own > owned)
	is.True(d.share(again) < 0.3)
}
