package raft

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

// TestBootstrapAfterFounderLosesDisk loses the disk of the replica that bootstraps when the others
// were told of its group but have no entry of it. They must be able to join another group. (Found by
// TestSoak with seed 223117942.)
func TestBootstrapAfterFounderLosesDisk(t *testing.T) {
	for _, hosts := range []int{3, 5} {
		cl := newCluster(5, hosts)
		founder := cl.hosts[0]
		cl.dropped = func(from, _ int, m peer.Message) bool {
			switch m.Body().(type) {
			case peer.Bootstrap, peer.AppendRequest:
				return from == founder.number && founder.wiped == 0
			default:
				return false
			}
		}
		told := func() bool {
			for _, h := range cl.hosts {
				if h.node == nil || h.node.Status().Group() == 0 {
					return false
				}
			}
			return true
		}
		for k := 0; k < 2000 && !told(); k++ {
			run(t, cl, 1)
		}
		if !told() {
			t.Fatal("the other replicas did not learn of the group")
		}
		founder.wipe()
		run(t, cl, clock.Second)
		if err := cl.awaitRecovery(); err != nil {
			t.Fatalf("group of %d replicas did not recover: %v", hosts, err)
		}
	}
}

// TestBootstrapUnderFaults bootstraps groups while messages are lost, duplicated and delayed,
// processes crash, and one disk is lost.
func TestBootstrapUnderFaults(t *testing.T) {
	_ = flag.Set("rapid.checks", "60")
	rapid.Check(t, func(t *rapid.T) {
		hosts := 3 + 2*draw(t, 2, "hosts")
		cl := newCluster(uint64(draw(t, 1<<62, "seed")), hosts)
		defer count(cl)
		cl.loss, cl.duplication, cl.delay = float64(draw(t, 60, "loss"))/100, 0.3, 1+draw(t, 400, "delay")
		lost := clock.Millis(1 + draw(t, 3000, "lost at"))
		for at := clock.Millis(0); at < 4*clock.Second; at += 10 {
			if at/10 == lost/10 {
				cl.faults++
				h := cl.hosts[draw(t, hosts, "lost")]
				h.wipe()
				h.downUntil = cl.now + clock.Millis(draw(t, 500, "span"))
			}
			if cl.random.IntN(60) == 0 {
				cl.faults++
				h := cl.hosts[cl.random.IntN(hosts)]
				h.crash()
				h.downUntil = cl.now + clock.Millis(cl.random.IntN(300))
			}
			cl.traffic()
			if err := cl.run(10); err != nil {
				t.Fatal(err)
			}
		}
		cl.heal()
		if err := cl.awaitRecovery(); err != nil {
			t.Fatal(err)
		}
	})
}
