package proof

import (
	"testing"
	"time"
)

// TestCutOffLeader cuts the leader from the other control replicas without a word,
// while every daemon still reaches it. It may renew nothing; the others choose a
// leader of their own, accept a change and serve all keys.
func TestCutOffLeader(t *testing.T) {
	t.Parallel()
	f := newRelayedFleet(t, 77, 4)
	old := f.leader()
	var others []*host
	for _, h := range f.hosts[:3] {
		if h != old {
			others = append(others, h)
		}
	}
	cut := func() {
		for _, h := range others {
			h.relay.cut(old.ip)
			old.relay.cut(h.ip)
		}
	}
	heal := func() {
		for _, h := range others {
			h.relay.heal(old.ip)
			old.relay.heal(h.ip)
		}
	}
	f.survive(f.others(old), func() {
		cut()
		time.Sleep(servedWithin)
		f.configure(f.hosts[0], 2, "")
		f.configure(f.hosts[1], 2, "")
		f.await(inForceWithin, "version 2 is in force on the majority's side", func() bool { return f.inForce(f.others(old), 2, "") })
	}, heal)
	f.await(inForceWithin, "version 2 is in force everywhere", func() bool { return f.inForce(f.hosts, 2, "") })
}

// TestCutOffDaemon cuts a daemon and the target beside it from all control
// replicas; callers and other daemons still reach it. What it owned is served
// elsewhere, and it refuses until it is back.
func TestCutOffDaemon(t *testing.T) {
	t.Parallel()
	f := newRelayedFleet(t, 78, 4)
	alone := f.hosts[3]
	f.survive(f.others(alone), func() {
		for _, h := range f.hosts[:3] {
			h.relay.cut(alone.ip)
		}
	}, func() {
		for _, h := range f.hosts[:3] {
			h.relay.heal(alone.ip)
		}
	})
	f.await(5*time.Second, "the daemon owns shards again", func() bool { return f.owned() == shards && f.shared() })
}
