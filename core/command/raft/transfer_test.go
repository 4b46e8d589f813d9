package raft

import (
	"testing"

	"verbenabank/core/clock"
)

// settledWorld returns a calm world with a leader.
func settledWorld(t *testing.T, seed uint64) (*world, *host) {
	w := newWorld(seed, 3)
	if err := w.run(2 * clock.Second); err != nil {
		t.Fatal(err)
	}
	l := w.leader()
	if l == nil || !l.node.Status().Healthy() {
		t.Fatal("no whole group after 2 s")
	}
	return w, l
}

func TestHandoverIsQuick(t *testing.T) {
	for seed := range uint64(20) {
		w, old := settledWorld(t, seed)
		old.step(TransferRequested{})
		if err := w.run(100); err != nil {
			t.Fatal(err)
		}
		if l := w.leader(); l == nil || l == old {
			t.Fatal("no other leader 100 ms after a handover")
		}
	}
}

func TestLostLeaderIsReplacedInTime(t *testing.T) {
	worst := clock.Millis(0)
	for seed := range uint64(50) {
		w, old := settledWorld(t, seed)
		old.crash()
		old.down = w.now + clock.Minute
		lost := w.now
		for w.leader() == nil {
			if err := w.run(1); err != nil {
				t.Fatal(err)
			}
			if w.now-lost > 2*ElectionMax {
				t.Fatalf("seed %d: no leader %d ms after the loss", seed, w.now-lost)
			}
		}
		worst = max(worst, w.now-lost)
	}
	t.Logf("worst: %d ms", worst)
}

func TestSilentLeaderLeavesOffice(t *testing.T) {
	w, old := settledWorld(t, 3)
	for k := range w.hosts {
		w.cut[[2]int{old.number, k}] = period{w.now, w.now + clock.Minute}
		w.cut[[2]int{k, old.number}] = period{w.now, w.now + clock.Minute}
	}
	if err := w.run(ElectionMax + 10); err != nil {
		t.Fatal(err)
	}
	if old.node.leads() {
		t.Fatal("leads without a quorum")
	}
}

func TestLostDiskIsRepaired(t *testing.T) {
	worst := clock.Millis(0)
	for seed := range uint64(20) {
		w, l := settledWorld(t, seed)
		for k := range 3 {
			lost := w.hosts[(l.number+k)%3]
			lost.wipe()
			began := w.now
			if err := w.run(ElectionMax + 10); err != nil {
				t.Fatal(err)
			}
			for w.leader() == nil || !w.leader().node.Status().Healthy() {
				if err := w.run(1); err != nil {
					t.Fatal(err)
				}
				if w.now-began > 5*clock.Second {
					t.Fatalf("seed %d: not whole 5 s after a loss", seed)
				}
			}
			worst = max(worst, w.now-began)
		}
	}
	t.Logf("worst: %d ms", worst)
}
