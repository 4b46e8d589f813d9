package place_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/query/place"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// The weights of two users' services with keyed routing: one weighs imbalance most, the other
// churn.
var (
	balanceWeights = rules.NewWeights(8, 1, 2)
	churnWeights   = rules.NewWeights(1, 8, 2)
)

// runScenario runs 90 s in which the hot key changes, a member is killed and its instance
// rejoins, another instance joins, and a member leaves.
func runScenario(y place.Policy, seed uint64, w rules.Weights) result {
	d := newSimulation(y, seed, w, 1, 4)
	d.run(10 * clock.Second)
	d.hotKey, d.hotPercent = "k700", 30
	d.run(22 * clock.Second)
	d.hotKey = "k1500"
	d.run(34 * clock.Second)
	d.hotKey = ""
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

// imbalance returns the load of the busiest member relative to the mean; 1 is balanced.
func (r result) imbalance() float64 { return r.busiestLoad / r.totalLoad }

// runScenarios runs the scenario with seeds 1 to 5 and returns the summed results.
func runScenarios(t *testing.T, name string, y place.Policy, w rules.Weights) result {
	var sum result
	for seed := range uint64(5) {
		r := runScenario(y, seed+1, w)
		t.Logf("%-18s seed %d: imbalance %.2f, keys moved %5d (%5d voluntary), unserved %4.1f s/key, vacant %d ms", name, seed+1, r.imbalance(), r.churn, r.voluntary, float64(r.unserved)/1000/keyCount, r.vacant)
		sum.busiestLoad += r.busiestLoad
		sum.totalLoad += r.totalLoad
		sum.churn += r.churn
		sum.voluntary += r.voluntary
		sum.unserved += r.unserved
		sum.vacant += r.vacant
	}
	return sum
}

// TestPoliciesOnSameScenario compares the policies on the same scenario and seeds. The asserted
// orders follow from the weights alone.
func TestPoliciesOnSameScenario(t *testing.T) {
	is := is.New(t)
	static := runScenarios(t, "static", place.Static{}, balanceWeights)
	equal := runScenarios(t, "equal counts", place.EqualCounts{}, balanceWeights)
	balanced := runScenarios(t, "cost, balance", place.CostBased{}, balanceWeights)
	sticky := runScenarios(t, "cost, churn", place.CostBased{}, churnWeights)
	is.True(balanced.imbalance() < equal.imbalance())                      // balancing by load beats balancing by count
	is.True(balanced.imbalance() < sticky.imbalance())                     // a higher weight of churn costs balance
	is.True(sticky.imbalance() < static.imbalance())                       // but still improves on static placement
	is.True(2*sticky.voluntary < balanced.voluntary)                       // churn weighs 8 times as much
	is.True(sticky.voluntary < equal.voluntary)                            // a high weight of churn moves less than equal counts
	is.Equal(balanced.vacant+sticky.vacant+static.vacant, clock.Millis(0)) // vacant shards are granted at once
}

// TestRandomArrivalsMoveNothing guards against moves caused by noise: the load is uniform, with
// random arrivals.
func TestRandomArrivalsMoveNothing(t *testing.T) {
	for seed := range uint64(10) {
		d := newSimulation(place.CostBased{}, seed, balanceWeights, 0, 4)
		d.run(5 * clock.Second)
		before := d.result.churn
		d.run(65 * clock.Second)
		if moved := d.result.churn - before; moved > 0 {
			t.Errorf("seed %d: %d keys moved", seed, moved)
		}
	}
}

// TestJoiningMemberTakesGrowingShare checks that a member that joins a loaded service gets a
// few shards at once, and its full share only over time.
func TestJoiningMemberTakesGrowingShare(t *testing.T) {
	is := is.New(t)
	d := newSimulation(place.CostBased{}, 1, balanceWeights, 0, 4)
	d.run(10 * clock.Second)
	joiner := d.join("i9")
	d.run(10500 * clock.Millisecond)
	early := d.share(joiner)
	is.True(early > 0 && early < 0.12) // less than its full share of a fifth
	d.run(30 * clock.Second)
	is.True(d.share(joiner) > 0.12)
}

// TestVacantShardsGoToLeastLoaded kills a member while another has a hot key. The vacant shards
// must go to the members with less load, although all own equally many shards.
func TestVacantShardsGoToLeastLoaded(t *testing.T) {
	is := is.New(t)
	d := newSimulation(place.Static{}, 1, balanceWeights, 0, 4)
	d.hotKey, d.hotPercent = "k700", 40
	d.run(10 * clock.Second)
	busy := d.owner("k700")
	before := d.share(busy)
	d.policy = place.CostBased{}
	d.kill(busy%4 + 1)
	is.Equal(d.result.vacant, clock.Millis(0)) // granted at once
	is.True(d.share(busy) <= before)
}

// TestHotKeyGetsDedicatedShardAndIsReturned lets a key become hot and then cold again.
func TestHotKeyGetsDedicatedShardAndIsReturned(t *testing.T) {
	is := is.New(t)
	d := newSimulation(place.CostBased{}, 1, balanceWeights, 0, 4)
	d.run(20 * clock.Second)
	is.Equal(len(d.fleet.Table().Overrides(service)), 0) // no key is hot
	d.hotKey, d.hotPercent = "k700", 40
	d.run(24 * clock.Second)
	is.Equal(len(d.fleet.Table().Overrides(service)), 1) // the hot key has a dedicated shard
	is.Equal(d.fleet.Table().Overrides(service)[0].Key(), "k700")
	d.hotKey = ""
	d.run(28 * clock.Second)
	is.Equal(len(d.fleet.Table().Overrides(service)), 1) // not cold for long enough
	d.run(60 * clock.Second)
	dedicated := len(d.fleet.Table().Overrides(service)) > 0
	colocated := d.owner("k700") == d.ownerOf(table.HashShard("k700", ranges))
	is.True(!dedicated || !colocated) // returned, unless the hash range has another owner
}

// TestRejoiningInstanceGetsFormerShards checks that most shards given to an instance that
// rejoins were its own before, and that it gets no more than its share.
func TestRejoiningInstanceGetsFormerShards(t *testing.T) {
	is := is.New(t)
	d := newSimulation(place.CostBased{}, 1, balanceWeights, 0, 4)
	d.run(10 * clock.Second)
	former := map[table.Shard]bool{}
	for s := range table.Shard(ranges) {
		former[s] = d.ownerOf(s) == 2
	}
	d.kill(2)
	d.run(25 * clock.Second)
	rejoined := d.join("i1")
	d.run(50 * clock.Second)
	owned, regained := 0, 0
	for s := range table.Shard(ranges) {
		if d.ownerOf(s) == rejoined {
			owned++
			if former[s] {
				regained++
			}
		}
	}
	t.Logf("%d shards, %d of them owned before", owned, regained)
	is.True(owned > 0 && 2*regained > owned)
	is.True(d.share(rejoined) < 0.3)
}
