package leader_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

const runDuration = 60 * clock.Second

// injectFault injects a random fault and schedules the next one.
func (sm *simulation) injectFault() {
	d := sm.daemons[sm.rand.IntN(len(sm.daemons))]
	switch sm.rand.IntN(8) {
	case 0:
		if sm.leader != nil {
			sm.depose()
		}
	case 1:
		d.freeze(sm.randomUpTo(2500))
	case 2:
		sm.faults++
		d.disconnect(d.session)
	case 3:
		sm.faults++
		d.disconnect(d.session)
		d.start()
	case 4:
		sm.faults++
		d.whenRunning(func() {
			d.step(agent.NewTargetLost(agent.Dead{}))
			sm.after(sm.randomUpTo(400), func() { d.whenRunning(d.announce) })
		})
	case 5:
		sm.faults++
		d.whenRunning(func() {
			d.step(agent.NewTargetLost(agent.Unresponsive{}))
			sm.after(sm.randomUpTo(900), func() { d.whenRunning(d.announce) })
		})
	case 6:
		sm.faults++
		d.whenRunning(func() { d.step(agent.Withdrawn{}) })
	case 7:
		sm.faults++
		d.whenRunning(d.announce)
	}
	sm.after(sm.randomUpTo(700), sm.injectFault)
}

// changeOverrides gives a key a dedicated shard or returns it to its hash range, moves shards, and
// schedules itself.
func (sm *simulation) changeOverrides() {
	key := keys[sm.rand.IntN(movableKeys)]
	switch sm.rand.IntN(3) {
	case 0:
		sm.commit(logcmd.NewAddOverride(service, key))
	case 1:
		sm.commit(logcmd.NewRemoveOverride(service, key))
	case 2:
		sm.moveShard(table.HashShard(key, shards))
	}
	if sm.rand.IntN(2) == 0 {
		sm.moveShard(sm.state.Table().ShardOf(service, key, shards))
	}
	sm.after(sm.randomUpTo(150), sm.changeOverrides)
}

// moveShard starts the move of a shard to a random member.
func (sm *simulation) moveShard(s table.Shard) {
	h, ok := sm.state.Table().Ownership(service, s).(table.Owned)
	members := sm.state.Table().MembersOf(service)
	if ok && len(members) > 0 {
		sm.commit(logcmd.NewMove(service, s, h.Epoch(), members[sm.rand.IntN(len(members))].Incarnation()))
	}
}

func simulate(seed uint64, f mutation) *simulation {
	sm := newSimulation(seed, f, 4)
	sm.after(1500, sm.injectFault)
	sm.after(1500, sm.changeOverrides)
	sm.run(runDuration)
	return sm
}

// TestOneOwnerUnderFaults checks under random faults that no shard or key has two owners. SOAK_S
// sets how many seconds it runs, at least 20 simulations; SEED sets the first seed.
func TestOneOwnerUnderFaults(t *testing.T) {
	seed, until := uint64(1), time.Now()
	if s, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		seed = s
	}
	if s, err := strconv.Atoi(os.Getenv("SOAK_S")); err == nil {
		until = until.Add(time.Duration(s) * time.Second)
	}
	runs, served, faults, grants := 0, 0, 0, 0
	for ; runs < 20 || time.Now().Before(until); runs++ {
		sm := simulate(seed+uint64(runs), noMutation)
		if sm.violation != "" {
			t.Fatalf("seed %d: %s", seed+uint64(runs), sm.violation)
		}
		served, faults, grants = served+sm.served, faults+sm.faults, grants+sm.grants
	}
	t.Logf("%d runs of %d s from seed %d: %d requests, %d faults, %d grants, no violation", runs, runDuration/clock.Second, seed, served, faults, grants)
	if served < runs*1000 || grants < runs*shards {
		t.Errorf("too little happened to prove anything: %d requests, %d grants", served, grants)
	}
}

// TestSameSeedGivesSameRun guards the replay of failures: the same seed must give the same run.
func TestSameSeedGivesSameRun(t *testing.T) {
	a, b := simulate(3, noMutation), simulate(3, noMutation)
	if a.served != b.served || a.faults != b.faults || a.grants != b.grants || len(a.log) != len(b.log) {
		t.Errorf("requests, faults, grants, log entries: %d, %d, %d, %d in the first run and %d, %d, %d, %d in the second", a.served, a.faults, a.grants, len(a.log), b.served, b.faults, b.grants, len(b.log))
	}
}

// TestMutationsAreDetected leaves out one safeguard at a time; the simulation must report a
// violation for each of them.
func TestMutationsAreDetected(t *testing.T) {
	mutations := map[string]mutation{
		"a deposed leader confirms itself":        confirmWhenDeposed,
		"a new leader does not wait out leases":   skipLeaseWait,
		"a shard is released with work in flight": releaseInFlight,
		"a lease is counted from its answer":      countFromAnswer,
		"a key is released with work in flight":   drainOwnShardOnly,
		"a removed override's work is forgotten":  forgetRemoved,
	}
	for name, f := range mutations {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				if sm := simulate(seed, f); sm.violation != "" {
					t.Logf("seed %d: %s", seed, sm.violation)
					return
				}
			}
			t.Error("no violation in 200 runs")
		})
	}
}

// TestOwnersReturnAfterLossOfOwnerAndLeader bounds the time without an owner after a daemon and
// the leader are lost together, on a network without long delays.
func TestOwnersReturnAfterLossOfOwnerAndLeader(t *testing.T) {
	for seed := range uint64(50) {
		sm := newSimulation(seed, noMutation, 4)
		sm.noLongDelays = true
		sm.run(5 * clock.Second)
		lost := sm.daemons[0]
		lost.freeze(60 * clock.Second)
		sm.depose()
		sm.run(sm.now.Add(2 * clock.Second))
		for s := range table.Shard(shards) {
			owned := false
			for _, d := range sm.daemons[1:] {
				_, ok := d.owns(s)
				owned = owned || ok
			}
			if !owned || sm.violation != "" {
				t.Errorf("seed %d: shard %d has no owner 2 s after the loss of owner and leader (%s)", seed, s, sm.violation)
			}
		}
	}
}
