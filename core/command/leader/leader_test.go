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

const runSpan = 60 * clock.Second

// trouble makes one fault after the other.
func (w *world) trouble() {
	d := w.daemons[w.rand.IntN(len(w.daemons))]
	switch w.rand.IntN(8) {
	case 0:
		if w.office != nil {
			w.depose()
		}
	case 1:
		d.freeze(w.span(2500))
	case 2:
		w.faults++
		d.lose(d.session)
	case 3:
		w.faults++
		d.lose(d.session)
		d.start()
	case 4:
		w.faults++
		d.awake(func() {
			d.step(agent.NewTargetLost(agent.Dead{}))
			w.after(w.span(400), func() { d.awake(d.announce) })
		})
	case 5:
		w.faults++
		d.awake(func() {
			d.step(agent.NewTargetLost(agent.Unresponsive{}))
			w.after(w.span(900), func() { d.awake(d.announce) })
		})
	case 6:
		w.faults++
		d.awake(func() { d.step(agent.Withdrawn{}) })
	case 7:
		w.faults++
		d.awake(d.announce)
	}
	w.after(w.span(700), w.trouble)
}

// place places keys alone, returns them to their ranges, and moves shards.
func (w *world) place() {
	key := keys[w.rand.IntN(movable)]
	switch w.rand.IntN(3) {
	case 0:
		w.commit(logcmd.NewAddOverride(service, key))
	case 1:
		w.commit(logcmd.NewRemoveOverride(service, key))
	case 2:
		w.move(table.HashShard(key, shards))
	}
	if w.rand.IntN(2) == 0 {
		w.move(w.state.Table().ShardOf(service, key, shards))
	}
	w.after(w.span(150), w.place)
}

// move sends a shard to another daemon.
func (w *world) move(s table.Shard) {
	h, ok := w.state.Table().Ownership(service, s).(table.Owned)
	members := w.state.Table().MembersOf(service)
	if ok && len(members) > 0 {
		w.commit(logcmd.NewMove(service, s, h.Epoch(), members[w.rand.IntN(len(members))].Incarnation()))
	}
}

func simulate(seed uint64, f flaw) *world {
	w := newWorld(seed, f, 4)
	w.after(1500, w.trouble)
	w.after(1500, w.place)
	w.run(runSpan)
	return w
}

// TestOneOwnerUnderFaults runs agents and leaders under random faults. SOAK_S and
// SEED make it longer and start it elsewhere.
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
		w := simulate(seed+uint64(runs), sound)
		if w.wrong != "" {
			t.Fatalf("seed %d: %s", seed+uint64(runs), w.wrong)
		}
		served, faults, grants = served+w.served, faults+w.faults, grants+w.grants
	}
	t.Logf("%d runs of %d s from seed %d: %d requests, %d faults, %d grants, no violation", runs, runSpan/clock.Second, seed, served, faults, grants)
	if served < runs*1000 || grants < runs*shards {
		t.Errorf("too little happened to prove anything: %d requests, %d grants", served, grants)
	}
}

// TestRunsCanBeReplayed wants the same run from the same seed.
func TestRunsCanBeReplayed(t *testing.T) {
	a, b := simulate(3, sound), simulate(3, sound)
	if a.served != b.served || a.faults != b.faults || a.grants != b.grants || len(a.log) != len(b.log) {
		t.Errorf("%d, %d, %d, %d and then %d, %d, %d, %d", a.served, a.faults, a.grants, len(a.log), b.served, b.faults, b.grants, len(b.log))
	}
}

// TestFlawsAreFound leaves one guard out at a time; the same runs must find each.
func TestFlawsAreFound(t *testing.T) {
	flaws := map[string]flaw{
		"a deposed leader confirms itself":        zombieConfirms,
		"a new leader does not wait out leases":   noWait,
		"a shard is released with work in flight": releaseInFlight,
		"a lease is counted from its answer":      countFromAnswer,
		"a key is released with work in flight":   drainOwnShardOnly,
		"a removed override's work is forgotten":  forgetRemoved,
	}
	for name, f := range flaws {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				if w := simulate(seed, f); w.wrong != "" {
					t.Logf("seed %d: %s", seed, w.wrong)
					return
				}
			}
			t.Error("not found in 200 runs")
		})
	}
}

// TestServiceComesBack bounds the time without an owner after the loss of a daemon
// and the leader together, on a network that is prompt.
func TestServiceComesBack(t *testing.T) {
	for seed := range uint64(50) {
		w := newWorld(seed, sound, 4)
		w.prompt = true
		w.run(5 * clock.Second)
		victim := w.daemons[0]
		victim.freeze(60 * clock.Second)
		w.depose()
		w.run(w.now.Add(2 * clock.Second))
		for s := range table.Shard(shards) {
			owned := false
			for _, d := range w.daemons[1:] {
				_, ok := d.owns(s)
				owned = owned || ok
			}
			if !owned || w.wrong != "" {
				t.Errorf("seed %d: shard %d has no owner 2 s after the loss of owner and leader (%s)", seed, s, w.wrong)
			}
		}
	}
}
