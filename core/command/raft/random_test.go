package raft

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenabank/core/clock"
)

// totals counts what the random runs of this process did.
var totals struct{ runs, steps, faults, elections, applied, confirms, wipes int }

func TestMain(m *testing.M) {
	flag.Parse()
	seed := os.Getenv("SEED")
	if seed == "" {
		seed = "20261204"
	}
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", seed)
	}
	if f := flag.Lookup("rapid.shrinktime"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.shrinktime", "3s")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	code := m.Run()
	if totals.runs > 0 {
		fmt.Printf("random runs: %+v\n", totals)
	}
	os.Exit(code)
}

// play runs one world through faults, heals it, and then wants it to serve.
func play(t *rapid.T, b breakage, only string, hosts int) error {
	w := newWorld(uint64(draw(t, 1<<62, "seed")), hosts)
	w.weak, w.check.only = b, only
	defer count(w)
	for _, f := range drawFaults(t, hosts) {
		for range int(f.pause) / 10 {
			w.traffic()
			if err := w.run(10); err != nil {
				return err
			}
		}
		w.inject(f)
	}
	if b == (breakage{}) {
		w.blackout()
	}
	w.heal()
	return w.recover()
}

// blackout loses disks that the group bears to lose, while all other hosts lose power.
func (w *world) blackout() {
	for _, k := range w.random.Perm(len(w.hosts)) {
		if h := w.hosts[k]; w.random.IntN(2) == 0 && w.bears(h) {
			h.wipe()
		} else {
			h.crash()
		}
	}
}

// recover wants a healed world to be whole soon, and to serve.
func (w *world) recover() error {
	if err := w.run(clock.Second); err != nil {
		return err
	}
	for range 60 {
		if err := w.run(100); err != nil {
			return err
		}
		if l := w.leader(); l != nil && l.node.Status().Healthy() && l.node.Status().Members().Len() == len(w.hosts) {
			return w.serve(l)
		}
	}
	return fmt.Errorf("liveness: not whole %d ms after the last fault", 60*100)
}

func (w *world) serve(l *host) error {
	before := w.check.top
	confirms := w.check.confirms
	l.step(NewProposed(1<<40, []byte("last")))
	l.ask(1 << 41)
	if err := w.run(200); err != nil {
		return err
	}
	if w.check.top == before || w.check.confirms == confirms {
		return fmt.Errorf("liveness: a healed group does not serve")
	}
	for _, h := range w.hosts {
		if !h.gone && h.index != w.check.top {
			return fmt.Errorf("liveness: host %d applied %d of %d", h.number, h.index, w.check.top)
		}
	}
	return nil
}

func count(w *world) {
	totals.runs++
	totals.steps += w.steps
	totals.faults += w.faults
	totals.elections += w.check.elections
	totals.applied += w.check.applied
	totals.confirms += w.check.confirms
	for _, h := range w.hosts {
		totals.wipes += h.wiped
	}
}

func property(hosts int) func(*rapid.T) {
	return func(t *rapid.T) {
		if err := play(t, breakage{}, "", hosts); err != nil {
			t.Fatal(err)
		}
	}
}

func TestThreeReplicasUnderFaults(t *testing.T) {
	_ = flag.Set("rapid.checks", "40")
	rapid.Check(t, property(3))
}

func TestFiveReplicasUnderFaults(t *testing.T) {
	_ = flag.Set("rapid.checks", "15")
	rapid.Check(t, property(5))
}

// TestSoak goes on for SOAK_S seconds from SEED on. Each round prints its seed.
func TestSoak(t *testing.T) {
	soak(t, func(k int) func(*rapid.T) { return property(3 + 2*(k%2)) })
	t.Logf("%+v", totals)
}

// soak checks the properties of all rounds until the time is up.
func soak(t *testing.T, round func(k int) func(*rapid.T)) {
	span, _ := strconv.Atoi(os.Getenv("SOAK_S"))
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	_ = flag.Set("rapid.checks", "10")
	before := flag.Lookup("rapid.seed").Value.String()
	defer func() { _ = flag.Set("rapid.seed", before) }()
	end := time.Now().Add(time.Duration(span) * time.Second)
	for k := 1; k == 1 || time.Now().Before(end); k++ {
		_ = flag.Set("rapid.seed", strconv.Itoa(seed+k))
		ok := t.Run(fmt.Sprintf("seed %d", seed+k), func(t *testing.T) { rapid.Check(t, round(k)) })
		if !ok {
			return
		}
	}
}

func TestOneReplicaServesAlone(t *testing.T) {
	if err := newWorld(1, 1).recover(); err != nil {
		t.Fatal(err)
	}
}

func TestCalmGroupFoundsItselfAndServes(t *testing.T) {
	w := newWorld(1, 3)
	if err := w.run(clock.Second); err != nil {
		t.Fatal(err)
	}
	if err := w.recover(); err != nil {
		t.Fatal(err)
	}
}
