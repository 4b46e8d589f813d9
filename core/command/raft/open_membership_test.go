package raft

import (
	"slices"
	"testing"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

const (
	// catchUpTime is how long a disk still counts as lost after its host, or the replacement, is back and
	// no other fault is active.
	catchUpTime = 4 * clock.Second
	// departureTime is how long a host counts as lost that was removed after its replacement had caught up.
	departureTime = 1500 * clock.Millisecond
)

// newOpenCluster returns a group of three with open membership.
func newOpenCluster(t *testing.T) *cluster {
	cl := newCluster(11, 3)
	for _, h := range cl.hosts {
		h.minVoters = 3
		h.start()
	}
	run(t, cl, 2*clock.Second)
	return cl
}

func run(t *testing.T, cl *cluster, span clock.Millis) {
	t.Helper()
	if err := cl.run(span); err != nil {
		t.Fatal(err)
	}
}

// voters returns the addresses of the voters as the leader knows them.
func (cl *cluster) voters() []string {
	var list []string
	for _, h := range cl.hosts {
		if _, ok := h.node.Status().Role().(Leader); !ok || h.downUntil > cl.now {
			continue
		}
		list = nil
		for _, r := range h.node.Status().Members().List() {
			if r.IsVoter() {
				list = append(list, r.Address())
			}
		}
	}
	slices.Sort(list)
	return list
}

func (cl *cluster) join(address string, seeds ...string) *host {
	h := &host{cluster: cl, number: len(cl.hosts), address: address, seeds: seeds, syncMax: 8, clockRate: 1000, minVoters: 3}
	h.clockBase, h.clockSince = cl.now, cl.now
	cl.hosts = append(cl.hosts, h)
	h.start()
	return h
}

// TestUnlistedReplicaReplacesLostMachine loses a control machine for good and replaces it by an empty
// one at another address, which knows only one member.
func TestUnlistedReplicaReplacesLostMachine(t *testing.T) {
	for lost := range 3 {
		cl := newOpenCluster(t)
		if got := cl.voters(); len(got) != 3 {
			t.Fatalf("voters before: %v", got)
		}
		gone := cl.hosts[lost]
		gone.downUntil = cl.now + 100*clock.Second
		gone.node = New()
		run(t, cl, clock.Second)
		cl.join("127.0.0.9:1", cl.hosts[(lost+1)%3].address)
		run(t, cl, 6*clock.Second)
		got := cl.voters()
		if len(got) != 3 || !slices.Contains(got, "127.0.0.9:1") || slices.Contains(got, gone.address) {
			t.Fatalf("lost %d: voters after: %v", lost, got)
		}
	}
}

// TestRemovedReplicaRejoins pauses a replica for so long that it is removed.
func TestRemovedReplicaRejoins(t *testing.T) {
	cl := newOpenCluster(t)
	cl.join("127.0.0.9:1", cl.hosts[0].address)
	run(t, cl, 2*clock.Second)
	if got := cl.voters(); len(got) != 4 {
		t.Fatalf("voters: %v", got)
	}
	away := cl.hosts[1]
	away.frozenUntil = cl.now + 8*clock.Second
	run(t, cl, 6*clock.Second)
	if got := cl.voters(); len(got) != 3 || slices.Contains(got, away.address) {
		t.Fatalf("voters while one replica is paused: %v", got)
	}
	run(t, cl, 6*clock.Second)
	if got := cl.voters(); len(got) != 4 {
		t.Fatalf("voters after the paused replica resumed: %v", got)
	}
}

// TestMinVotersAreKept requires that no voter is removed if fewer than minVoters would be left.
func TestMinVotersAreKept(t *testing.T) {
	cl := newOpenCluster(t)
	cl.hosts[2].frozenUntil = cl.now + 20*clock.Second
	run(t, cl, 8*clock.Second)
	if got := cl.voters(); len(got) != 3 {
		t.Fatalf("voters: %v", got)
	}
}

// powerOff crashes all hosts at once. They start again about 300 ms later.
func (cl *cluster) powerOff() {
	for _, h := range cl.hosts {
		h.crash()
		h.downUntil = cl.now + 300
	}
}

// requireRecovery requires a leader with all entries committed so far, within 10 s.
func (cl *cluster) requireRecovery(t *testing.T) {
	t.Helper()
	top := cl.check.lastCommitted
	run(t, cl, 10*clock.Second)
	if l := cl.leader(); l == nil || l.index < top {
		t.Fatalf("no leader with all %d committed entries 10 s after the fault", top)
	}
}

// TestPowerLossDuringPromotion crashes all hosts when only the leader's disk has the entry that makes
// the replacement of a lost machine a voter. The replacement's vote is then needed, though it does not
// know yet that it is a voter.
func TestPowerLossDuringPromotion(t *testing.T) {
	cl := newOpenCluster(t)
	l := cl.leader()
	lost := cl.hosts[(l.number+1)%3]
	lost.wipe()
	lost.removed = true
	cl.dropped = func(from, _ int, m peer.Message) bool {
		r, ok := m.Body().(peer.AppendRequest)
		return ok && from == l.number && slices.ContainsFunc(r.Entries(), func(e peer.Entry) bool {
			c, ok := e.Payload().(peer.MembershipChange)
			return ok && c.Members().VoterCount() == 4
		})
	}
	cl.join("127.0.0.9:1", l.address)
	promoted := func() bool {
		entries := l.disk.Entries()
		c, ok := entries[len(entries)-1].Payload().(peer.MembershipChange)
		return ok && c.Members().VoterCount() == 4
	}
	for k := 0; k < 2000 && !promoted(); k++ {
		run(t, cl, 1)
	}
	if !promoted() {
		t.Fatal("the replacement was not promoted within 2 s")
	}
	cl.dropped = nil
	cl.powerOff()
	cl.requireRecovery(t)
}

// TestDiskLossAfterPlannedReplacement loses another disk, and crashes all hosts, soon after a machine
// was removed whose replacement had caught up.
func TestDiskLossAfterPlannedReplacement(t *testing.T) {
	for left := range 3 {
		cl := newOpenCluster(t)
		cl.join("127.0.0.9:1", cl.hosts[0].address)
		run(t, cl, catchUpTime)
		cl.hosts[left].wipe()
		cl.hosts[left].removed = true
		run(t, cl, departureTime)
		cl.hosts[(left+1)%3].wipe()
		cl.powerOff()
		cl.requireRecovery(t)
	}
}
