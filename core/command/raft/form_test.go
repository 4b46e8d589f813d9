package raft

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

// TestFoundingAfterTheFounderLostItsDisk loses the founder's disk when the others were told of its
// group and have no entry of it. (Seed 223117942 of TestSoak.)
func TestFoundingAfterTheFounderLostItsDisk(t *testing.T) {
	for _, hosts := range []int{3, 5} {
		w := newWorld(5, hosts)
		founder := w.hosts[0]
		w.dropped = func(from, _ int, m peer.Message) bool {
			switch m.Body().(type) {
			case peer.Bootstrap, peer.AppendRequest:
				return from == founder.number && founder.wiped == 0
			default:
				return false
			}
		}
		told := func() bool {
			for _, h := range w.hosts {
				if h.node == nil || h.node.Status().Group() == 0 {
					return false
				}
			}
			return true
		}
		for k := 0; k < 2000 && !told(); k++ {
			run(t, w, 1)
		}
		if !told() {
			t.Fatal("the others were not told of the group")
		}
		founder.wipe()
		run(t, w, clock.Second)
		if err := w.recover(); err != nil {
			t.Fatalf("%d replicas: %v", hosts, err)
		}
	}
}

// TestFoundingUnderFaults founds groups while messages are lost, doubled and
// late, processes stop, and one disk is lost at some instant.
func TestFoundingUnderFaults(t *testing.T) {
	_ = flag.Set("rapid.checks", "60")
	rapid.Check(t, func(t *rapid.T) {
		hosts := 3 + 2*draw(t, 2, "hosts")
		w := newWorld(uint64(draw(t, 1<<62, "seed")), hosts)
		defer count(w)
		w.loss, w.double, w.delay = float64(draw(t, 60, "loss"))/100, 0.3, 1+draw(t, 400, "delay")
		lost := clock.Millis(1 + draw(t, 3000, "lost at"))
		for at := clock.Millis(0); at < 4*clock.Second; at += 10 {
			if at/10 == lost/10 {
				w.faults++
				h := w.hosts[draw(t, hosts, "lost")]
				h.wipe()
				h.down = w.now + clock.Millis(draw(t, 500, "span"))
			}
			if w.random.IntN(60) == 0 {
				w.faults++
				h := w.hosts[w.random.IntN(hosts)]
				h.crash()
				h.down = w.now + clock.Millis(w.random.IntN(300))
			}
			w.traffic()
			if err := w.run(10); err != nil {
				t.Fatal(err)
			}
		}
		w.heal()
		if err := w.recover(); err != nil {
			t.Fatal(err)
		}
	})
}
