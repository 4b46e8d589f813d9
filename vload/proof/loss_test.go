package proof

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// servedWithin is the users' bound on the time until a key is served again.
const servedWithin = 2 * time.Second

var keys = []string{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"}

// others returns the hosts but the given ones.
func (f *fleet) others(not ...*host) []*host {
	var list []*host
next:
	for _, h := range f.hosts {
		for _, n := range not {
			if h == n {
				continue next
			}
		}
		list = append(list, h)
	}
	return list
}

// survive runs traffic through all hosts but the victims, breaks something, mends
// it after 4 s, and wants each key back within the bound.
func (f *fleet) survive(entries []*host, breakIt, mendIt func()) {
	f.t.Helper()
	r := f.send(entries, keys...)
	time.Sleep(time.Second)
	at := time.Now()
	breakIt()
	time.Sleep(4 * time.Second)
	mendIt()
	time.Sleep(2 * time.Second)
	calls := r.finish()
	f.judge(calls)
	longest := time.Duration(0)
	for _, k := range keys {
		longest = max(longest, gap(calls, k, at))
		if len(answers(calls, k, at.Add(servedWithin))) == 0 {
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
	f.survive(f.others(victim), func() { kill(victim.daemon); kill(victim.target) }, func() { victim.startDaemon(); victim.startTarget() })
}

func TestKilledDaemonBesideALivingTarget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 62, 4)
	victim := f.hosts[3]
	f.survive(f.others(victim), func() { kill(victim.daemon) }, victim.startDaemon)
}

func TestKilledTarget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 63, 4)
	victim := f.hosts[3]
	f.survive(f.hosts, func() { kill(victim.target) }, victim.startTarget)
}

func TestFrozenDaemon(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 64, 4)
	victim := f.hosts[3]
	f.survive(f.others(victim), func() { _ = victim.daemon.Signal(syscall.SIGSTOP) }, func() { _ = victim.daemon.Signal(syscall.SIGCONT) })
}

func TestFrozenTarget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 65, 4)
	victim := f.hosts[3]
	f.survive(f.hosts, func() { _ = victim.target.Signal(syscall.SIGSTOP) }, func() { _ = victim.target.Signal(syscall.SIGCONT) })
}

func TestFrozenInstance(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 66, 4)
	victim := f.hosts[3]
	both := func(s syscall.Signal) { _ = victim.daemon.Signal(s); _ = victim.target.Signal(s) }
	f.survive(f.others(victim), func() { both(syscall.SIGSTOP) }, func() { both(syscall.SIGCONT) })
}

func TestKilledLeaderWithItsTarget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 67, 4)
	victim := f.leader()
	f.survive(f.others(victim), func() { kill(victim.daemon); kill(victim.target) }, func() { victim.startDaemon(); victim.startTarget() })
}

// TestFrozenLeader stops the leader without a word: its connections stay open, and
// when it goes on it still believes that it leads.
func TestFrozenLeader(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 68, 4)
	victim := f.leader()
	f.survive(f.others(victim), func() { _ = victim.daemon.Signal(syscall.SIGSTOP) }, func() { _ = victim.daemon.Signal(syscall.SIGCONT) })
}

// TestWipedDiskThenTheNextLoss loses the disk of one replica, lets it come back
// blank, and then loses another one.
func TestWipedDiskThenTheNextLoss(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 69, 4)
	f.configure(f.hosts[0], 2, "")
	f.await(4*time.Second, "version 2 is in force", func() bool { return f.inForce(f.hosts, 2, "") })
	wiped := f.hosts[1]
	before := f.leader().state().Control.Commit
	kill(wiped.daemon)
	f.must(os.RemoveAll(filepath.Join(wiped.folder, "data")))
	wiped.startDaemon()
	f.await(10*time.Second, "the blank replica has caught up", func() bool {
		s := wiped.state()
		return s.Control != nil && s.Control.Commit > before && f.leader().state().Control.Whole
	})
	next := f.hosts[2]
	kill(next.daemon)
	kill(next.target)
	f.configure(f.hosts[0], 3, `, "queue": {"length": 9, "wait_ms": 100}`)
	alive := f.others(next)
	f.await(6*time.Second, "version 3 is in force after the next loss", func() bool { return f.inForce(alive, 3, "") })
	r := f.send(alive, keys...)
	time.Sleep(3 * time.Second)
	f.judge(r.finish())
}

// TestAllReplicasRestart loses all control replicas at once; what they
// acknowledged is still there.
func TestAllReplicasRestart(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 70, 4)
	r := f.send(f.hosts[3:], keys...)
	time.Sleep(time.Second)
	epochs := f.epochs(f.hosts[3])
	for _, h := range f.hosts[:3] {
		kill(h.daemon)
	}
	for _, h := range f.hosts[:3] {
		h.startDaemon()
	}
	f.await(10*time.Second, "all shards have owners again", func() bool { return f.owned() == shards })
	for k, e := range f.epochs(f.hosts[0]) {
		if e < epochs[k] {
			t.Errorf("key %s went back from epoch %d to %d", k, epochs[k], e)
		}
	}
	time.Sleep(time.Second)
	f.judge(r.finish())
}

// epochs returns the epochs of hash ranges by keys that nobody asks for: a key
// that is asked for may be placed alone, in a shard with epochs of its own.
func (f *fleet) epochs(h *host) map[string]uint64 {
	list := map[string]uint64{}
	for n := range 100 {
		k := fmt.Sprint("cold-", n)
		var route struct {
			Epoch uint64 `json:"epoch"`
		}
		h.get(fmt.Sprintf("/route?service=%s&key=%s", service, k), &route)
		list[k] = route.Epoch
	}
	return list
}
