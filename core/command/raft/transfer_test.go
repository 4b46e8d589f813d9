package raft

import (
	"testing"

	"verbenabank/core/clock"
)

// newSettledCluster returns a cluster without faults that has a leader.
func newSettledCluster(t *testing.T, seed uint64) (*cluster, *host) {
	cl := newCluster(seed, 3)
	if err := cl.run(2 * clock.Second); err != nil {
		t.Fatal(err)
	}
	l := cl.leader()
	if l == nil || !l.node.Status().Healthy() {
		t.Fatal("no healthy group after 2 s")
	}
	return cl, l
}

func TestLeadershipTransferIsQuick(t *testing.T) {
	for seed := range uint64(20) {
		cl, old := newSettledCluster(t, seed)
		old.step(TransferRequested{})
		if err := cl.run(100); err != nil {
			t.Fatal(err)
		}
		if l := cl.leader(); l == nil || l == old {
			t.Fatal("no other leader 100 ms after a leadership transfer")
		}
	}
}

func TestCrashedLeaderIsReplacedInTime(t *testing.T) {
	worst := clock.Millis(0)
	for seed := range uint64(50) {
		cl, old := newSettledCluster(t, seed)
		old.crash()
		old.downUntil = cl.now + clock.Minute
		lost := cl.now
		for cl.leader() == nil {
			if err := cl.run(1); err != nil {
				t.Fatal(err)
			}
			if cl.now-lost > 2*ElectionTimeoutMax {
				t.Fatalf("seed %d: no leader %d ms after the crash", seed, cl.now-lost)
			}
		}
		worst = max(worst, cl.now-lost)
	}
	t.Logf("worst: %d ms", worst)
}

func TestIsolatedLeaderStepsDown(t *testing.T) {
	cl, old := newSettledCluster(t, 3)
	for k := range cl.hosts {
		cl.cut[[2]int{old.number, k}] = interval{cl.now, cl.now + clock.Minute}
		cl.cut[[2]int{k, old.number}] = interval{cl.now, cl.now + clock.Minute}
	}
	if err := cl.run(ElectionTimeoutMax + 10); err != nil {
		t.Fatal(err)
	}
	if old.node.leads() {
		t.Fatal("still leads without contact with a quorum")
	}
}

func TestReplicaWithLostDiskRejoins(t *testing.T) {
	worst := clock.Millis(0)
	for seed := range uint64(20) {
		cl, l := newSettledCluster(t, seed)
		for k := range 3 {
			lost := cl.hosts[(l.number+k)%3]
			lost.wipe()
			began := cl.now
			if err := cl.run(ElectionTimeoutMax + 10); err != nil {
				t.Fatal(err)
			}
			for cl.leader() == nil || !cl.leader().node.Status().Healthy() {
				if err := cl.run(1); err != nil {
					t.Fatal(err)
				}
				if cl.now-began > 5*clock.Second {
					t.Fatalf("seed %d: group not healthy 5 s after the loss of a disk", seed)
				}
			}
			worst = max(worst, cl.now-began)
		}
	}
	t.Logf("worst: %d ms", worst)
}
