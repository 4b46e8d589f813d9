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

// play runs a cluster through random faults, heals it, and requires it to recover.
func play(t *rapid.T, b disabledGuard, only string, hosts int) error {
	cl := newCluster(uint64(draw(t, 1<<62, "seed")), hosts)
	cl.disabled, cl.check.onlyInvariant = b, only
	defer count(cl)
	for _, f := range drawFaults(t, hosts) {
		for range int(f.pause) / 10 {
			cl.traffic()
			if err := cl.run(10); err != nil {
				return err
			}
		}
		cl.injectFault(f)
	}
	if b == (disabledGuard{}) {
		cl.losePower()
	}
	cl.heal()
	return cl.awaitRecovery()
}

// losePower loses as many disks as the group tolerates, while all other hosts lose power.
func (cl *cluster) losePower() {
	for _, k := range cl.random.Perm(len(cl.hosts)) {
		if h := cl.hosts[k]; cl.random.IntN(2) == 0 && cl.mayWipe(h) {
			h.wipe()
		} else {
			h.crash()
		}
	}
}

// awaitRecovery requires a healed cluster to become healthy within 7 s and to serve requests.
func (cl *cluster) awaitRecovery() error {
	if err := cl.run(clock.Second); err != nil {
		return err
	}
	for range 60 {
		if err := cl.run(100); err != nil {
			return err
		}
		if l := cl.leader(); l != nil && l.node.Status().Healthy() && l.node.Status().Members().Len() == len(cl.hosts) {
			return cl.checkService(l)
		}
	}
	return fmt.Errorf("liveness: group not healthy %d ms after the last fault", 60*100)
}

func (cl *cluster) checkService(l *host) error {
	before := cl.check.lastCommitted
	confirms := cl.check.confirms
	l.step(NewProposed(1<<40, []byte("last")))
	l.requestConfirm(1 << 41)
	if err := cl.run(200); err != nil {
		return err
	}
	if cl.check.lastCommitted == before || cl.check.confirms == confirms {
		return fmt.Errorf("liveness: group without faults does not commit or confirm within 200 ms")
	}
	for _, h := range cl.hosts {
		if !h.removed && h.index != cl.check.lastCommitted {
			return fmt.Errorf("liveness: host %d applied up to index %d of %d", h.number, h.index, cl.check.lastCommitted)
		}
	}
	return nil
}

func count(cl *cluster) {
	totals.runs++
	totals.steps += cl.steps
	totals.faults += cl.faults
	totals.elections += cl.check.elections
	totals.applied += cl.check.applied
	totals.confirms += cl.check.confirms
	for _, h := range cl.hosts {
		totals.wipes += h.wiped
	}
}

func property(hosts int) func(*rapid.T) {
	return func(t *rapid.T) {
		if err := play(t, disabledGuard{}, "", hosts); err != nil {
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

// TestSoak repeats the random runs for SOAK_S seconds, with seeds that count up from SEED. Each round
// prints its seed.
func TestSoak(t *testing.T) {
	soak(t, func(k int) func(*rapid.T) { return property(3 + 2*(k%2)) })
	t.Logf("%+v", totals)
}

// soak checks a property per round until SOAK_S is over, at least one round.
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

func TestSingleReplicaServes(t *testing.T) {
	if err := newCluster(1, 1).awaitRecovery(); err != nil {
		t.Fatal(err)
	}
}

func TestGroupBootstrapsAndServes(t *testing.T) {
	cl := newCluster(1, 3)
	if err := cl.run(clock.Second); err != nil {
		t.Fatal(err)
	}
	if err := cl.awaitRecovery(); err != nil {
		t.Fatal(err)
	}
}
