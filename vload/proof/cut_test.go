package proof

import (
	"testing"
	"time"
)

// TestCutOffLeader isolates the leader from the other control replicas without
// closing connections, while every daemon still reaches it. Without a quorum it
// must renew no lease; the majority elects a new leader, commits a configuration
// change and serves all keys.
func TestCutOffLeader(t *testing.T) {
	t.Parallel()
	f := newRelayedFleet(t, 77, 4)
	old := f.leader()
	var peers []*host
	for _, h := range f.hosts[:3] {
		if h != old {
			peers = append(peers, h)
		}
	}
	partition := func() {
		for _, h := range peers {
			h.relay.block(old.ip)
			old.relay.block(h.ip)
		}
	}
	heal := func() {
		for _, h := range peers {
			h.relay.unblock(old.ip)
			old.relay.unblock(h.ip)
		}
	}
	f.checkFailover(f.hostsExcept(old), func() {
		partition()
		time.Sleep(servedWithin)
		f.writeConfiguration(f.hosts[0], 2, "")
		f.writeConfiguration(f.hosts[1], 2, "")
		f.await(inForceWithin, "version 2 is in force on the majority's side", func() bool { return f.inForce(f.hostsExcept(old), 2, "") })
	}, heal)
	f.await(inForceWithin, "version 2 is in force everywhere", func() bool { return f.inForce(f.hosts, 2, "") })
}

// TestCutOffDaemon isolates a daemon and its target from all control replicas;
// callers and other daemons still reach it. Its shards must be served by other
// members, and it must refuse requests until it is reconnected.
func TestCutOffDaemon(t *testing.T) {
	t.Parallel()
	f := newRelayedFleet(t, 78, 4)
	isolated := f.hosts[3]
	f.checkFailover(f.hostsExcept(isolated), func() {
		for _, h := range f.hosts[:3] {
			h.relay.block(isolated.ip)
		}
	}, func() {
		for _, h := range f.hosts[:3] {
			h.relay.unblock(isolated.ip)
		}
	})
	f.await(5*time.Second, "the daemon owns shards again", func() bool { return f.minOwnedShards() == shards && f.hostsWithShards(2) == len(f.hosts) })
}
