package raft

import (
	"slices"
	"testing"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

const (
	// catchUp is for how long a disk counts as lost after its host, or the one that takes its
	// place, is back and nothing else is disturbed.
	catchUp = 4 * clock.Second
	// parting is for how long a host that left after its successor had caught up counts as lost.
	parting = 1500 * clock.Millisecond
)

// openWorld has a group of three that replicas may join unlisted.
func openWorld(t *testing.T) *world {
	w := newWorld(11, 3)
	for _, h := range w.hosts {
		h.open = 3
		h.start()
	}
	run(t, w, 2*clock.Second)
	return w
}

func run(t *testing.T, w *world, span clock.Millis) {
	t.Helper()
	if err := w.run(span); err != nil {
		t.Fatal(err)
	}
}

// voters returns the addresses of the voters, by the leader.
func (w *world) voters() []string {
	var list []string
	for _, h := range w.hosts {
		if _, ok := h.node.Status().Role().(Leader); !ok || h.down > w.now {
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

func (w *world) join(address string, seeds ...string) *host {
	h := &host{world: w, number: len(w.hosts), address: address, seeds: seeds, syncMax: 8, rate: 1000, open: 3}
	h.base, h.since = w.now, w.now
	w.hosts = append(w.hosts, h)
	h.start()
	return h
}

// TestUnlistedReplicaTakesThePlaceOfALostOne is a control machine that is lost for good and
// replaced by an empty one at another address, which knows one member only.
func TestUnlistedReplicaTakesThePlaceOfALostOne(t *testing.T) {
	for lost := range 3 {
		w := openWorld(t)
		if got := w.voters(); len(got) != 3 {
			t.Fatalf("voters before: %v", got)
		}
		gone := w.hosts[lost]
		gone.down = w.now + 100*clock.Second
		gone.node = New()
		run(t, w, clock.Second)
		w.join("127.0.0.9:1", w.hosts[(lost+1)%3].address)
		run(t, w, 6*clock.Second)
		got := w.voters()
		if len(got) != 3 || !slices.Contains(got, "127.0.0.9:1") || slices.Contains(got, gone.address) {
			t.Fatalf("lost %d: voters after: %v", lost, got)
		}
	}
}

// TestRemovedReplicaJoinsAgain is one that was away for so long that it was removed.
func TestRemovedReplicaJoinsAgain(t *testing.T) {
	w := openWorld(t)
	w.join("127.0.0.9:1", w.hosts[0].address)
	run(t, w, 2*clock.Second)
	if got := w.voters(); len(got) != 4 {
		t.Fatalf("voters: %v", got)
	}
	away := w.hosts[1]
	away.frozen = w.now + 8*clock.Second
	run(t, w, 6*clock.Second)
	if got := w.voters(); len(got) != 3 || slices.Contains(got, away.address) {
		t.Fatalf("voters while one is away: %v", got)
	}
	run(t, w, 6*clock.Second)
	if got := w.voters(); len(got) != 4 {
		t.Fatalf("voters after it came back: %v", got)
	}
}

// TestVotersAreKeptWithoutReplacement wants no voter removed below the least count.
func TestVotersAreKeptWithoutReplacement(t *testing.T) {
	w := openWorld(t)
	w.hosts[2].frozen = w.now + 20*clock.Second
	run(t, w, 8*clock.Second)
	if got := w.voters(); len(got) != 3 {
		t.Fatalf("voters: %v", got)
	}
}

// powerOff crashes all hosts at once. They come back some 300 ms later.
func (w *world) powerOff() {
	for _, h := range w.hosts {
		h.crash()
		h.down = w.now + 300
	}
}

// wantsAll wants a leader that has all that was committed before.
func (w *world) wantsAll(t *testing.T) {
	t.Helper()
	top := w.check.top
	run(t, w, 10*clock.Second)
	if l := w.leader(); l == nil || l.index < top {
		t.Fatalf("no leader with the %d entries that were committed", top)
	}
}

// TestPowerIsLostWhileAReplacementIsPromoted loses power when only the leader's disk has the entry
// that makes the successor of a lost machine a voter.
func TestPowerIsLostWhileAReplacementIsPromoted(t *testing.T) {
	w := openWorld(t)
	l := w.leader()
	lost := w.hosts[(l.number+1)%3]
	lost.wipe()
	lost.gone = true
	w.dropped = func(from, _ int, m peer.Message) bool {
		r, ok := m.Body().(peer.AppendRequest)
		return ok && from == l.number && slices.ContainsFunc(r.Entries(), func(e peer.Entry) bool {
			c, ok := e.Payload().(peer.MembershipChange)
			return ok && c.Members().VoterCount() == 4
		})
	}
	w.join("127.0.0.9:1", l.address)
	promoted := func() bool {
		entries := l.disk.Entries()
		c, ok := entries[len(entries)-1].Payload().(peer.MembershipChange)
		return ok && c.Members().VoterCount() == 4
	}
	for k := 0; k < 2000 && !promoted(); k++ {
		run(t, w, 1)
	}
	if !promoted() {
		t.Fatal("the successor is not promoted")
	}
	w.dropped = nil
	w.powerOff()
	w.wantsAll(t)
}

// TestDiskIsLostAfterAPlannedReplacement loses one more disk, and all power, soon after a machine
// left whose successor had caught up.
func TestDiskIsLostAfterAPlannedReplacement(t *testing.T) {
	for left := range 3 {
		w := openWorld(t)
		w.join("127.0.0.9:1", w.hosts[0].address)
		run(t, w, catchUp)
		w.hosts[left].wipe()
		w.hosts[left].gone = true
		run(t, w, parting)
		w.hosts[(left+1)%3].wipe()
		w.powerOff()
		w.wantsAll(t)
	}
}
