package proof

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// servedWithin is the required failover time: the longest time that a key may be
// unavailable after a fault.
const servedWithin = 2 * time.Second

var keys = []string{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"}

// hostsExcept returns all hosts except the given ones.
func (f *fleet) hostsExcept(excluded ...*host) []*host {
	var list []*host
next:
	for _, h := range f.hosts {
		for _, n := range excluded {
			if h == n {
				continue next
			}
		}
		list = append(list, h)
	}
	return list
}

// checkFailover sends traffic through the entries, injects a fault, repairs it after
// 4 s, and checks that no key was unavailable for longer than servedWithin.
func (f *fleet) checkFailover(entries []*host, inject, repair func()) {
	f.t.Helper()
	r := f.startTraffic(entries, keys...)
	time.Sleep(time.Second)
	faultAt := time.Now()
	inject()
	time.Sleep(4 * time.Second)
	repair()
	time.Sleep(2 * time.Second)
	calls := r.finish()
	f.checkCalls(calls)
	longest := time.Duration(0)
	for _, k := range keys {
		longest = max(longest, longestGap(calls, k, faultAt))
		if len(answerTimes(calls, k, faultAt.Add(servedWithin))) == 0 {
			f.t.Errorf("key %s was not served again", k)
		}
	}
	f.t.Logf("longest time without an answer of a key: %v", longest)
	if longest > servedWithin {
		f.t.Errorf("a key was not served for %v", longest)
	}
}

func TestKilledOwner(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 61, 4)
	victim := f.hosts[3]
	f.checkFailover(f.hostsExcept(victim), func() { kill(victim.daemon); kill(victim.target) }, func() { victim.startDaemon(); victim.startTarget() })
}

func TestKilledDaemonBesideALivingTarget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 62, 4)
	victim := f.hosts[3]
	f.checkFailover(f.hostsExcept(victim), func() { kill(victim.daemon) }, victim.startDaemon)
}

func TestKilledTarget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 63, 4)
	victim := f.hosts[3]
	f.checkFailover(f.hosts, func() { kill(victim.target) }, victim.startTarget)
}

func TestFrozenDaemon(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 64, 4)
	victim := f.hosts[3]
	f.checkFailover(f.hostsExcept(victim), func() { _ = victim.daemon.Signal(syscall.SIGSTOP) }, func() { _ = victim.daemon.Signal(syscall.SIGCONT) })
}

func TestFrozenTarget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 65, 4)
	victim := f.hosts[3]
	f.checkFailover(f.hosts, func() { _ = victim.target.Signal(syscall.SIGSTOP) }, func() { _ = victim.target.Signal(syscall.SIGCONT) })
}

func TestFrozenInstance(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 66, 4)
	victim := f.hosts[3]
	both := func(s syscall.Signal) { _ = victim.daemon.Signal(s); _ = victim.target.Signal(s) }
	f.checkFailover(f.hostsExcept(victim), func() { both(syscall.SIGSTOP) }, func() { both(syscall.SIGCONT) })
}

func TestKilledLeaderWithItsTarget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 67, 4)
	victim := f.leader()
	f.checkFailover(f.hostsExcept(victim), func() { kill(victim.daemon); kill(victim.target) }, func() { victim.startDaemon(); victim.startTarget() })
}

// TestFrozenLeader freezes the leader: its connections stay open, and when it
// resumes it still assumes that it is the leader.
func TestFrozenLeader(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 68, 4)
	victim := f.leader()
	f.checkFailover(f.hostsExcept(victim), func() { _ = victim.daemon.Signal(syscall.SIGSTOP) }, func() { _ = victim.daemon.Signal(syscall.SIGCONT) })
}

// TestWipedDiskThenTheNextLoss erases the data of one replica, restarts it empty,
// and kills another replica once the first has caught up. The group must still
// commit, so the replica that was erased must count towards the quorum again.
func TestWipedDiskThenTheNextLoss(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 69, 4)
	f.writeConfiguration(f.hosts[0], 2, "")
	f.await(4*time.Second, "version 2 is in force", func() bool { return f.inForce(f.hosts, 2, "") })
	wiped := f.hosts[1]
	before := f.leader().status().Control.Commit
	kill(wiped.daemon)
	f.must(os.RemoveAll(filepath.Join(wiped.folder, "data")))
	wiped.startDaemon()
	f.await(10*time.Second, "the erased replica has caught up", func() bool {
		s := wiped.status()
		return s.Control != nil && s.Control.Commit > before && f.leader().status().Control.Complete
	})
	next := f.hosts[2]
	kill(next.daemon)
	kill(next.target)
	f.writeConfiguration(f.hosts[0], 3, `, "queue": {"length": 9, "wait_ms": 100}`)
	alive := f.hostsExcept(next)
	f.await(6*time.Second, "version 3 is in force after the next loss", func() bool { return f.inForce(alive, 3, "") })
	r := f.startTraffic(alive, keys...)
	time.Sleep(3 * time.Second)
	f.checkCalls(r.finish())
}

// TestAllReplicasRestart kills and restarts all control replicas at once. Everything
// that they acknowledged must be recovered, so no epoch may go back.
func TestAllReplicasRestart(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 70, 4)
	r := f.startTraffic(f.hosts[3:], keys...)
	time.Sleep(time.Second)
	epochs := f.epochs(f.hosts[3])
	for _, h := range f.hosts[:3] {
		kill(h.daemon)
	}
	for _, h := range f.hosts[:3] {
		h.startDaemon()
	}
	f.await(10*time.Second, "all shards have owners again", func() bool { return f.minOwnedShards() == shards })
	for k, e := range f.epochs(f.hosts[0]) {
		if e < epochs[k] {
			t.Errorf("key %s went back from epoch %d to %d", k, epochs[k], e)
		}
	}
	time.Sleep(time.Second)
	f.checkCalls(r.finish())
}

// epochs returns the epochs of hash ranges, looked up by keys without traffic. A key
// with traffic may get a dedicated shard, which has its own epochs.
func (f *fleet) epochs(h *host) map[string]uint64 {
	list := map[string]uint64{}
	for n := range 100 {
		k := fmt.Sprint("cold-", n)
		var route struct {
			Epoch uint64 `json:"epoch"`
		}
		h.getJSON(fmt.Sprintf("/route?service=%s&key=%s", service, k), &route)
		list[k] = route.Epoch
	}
	return list
}
