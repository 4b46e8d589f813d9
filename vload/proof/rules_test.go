package proof

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// inForceWithin is the longest time that an accepted configuration may take until
// all daemons use it.
const inForceWithin = 4 * time.Second

// inForce reports whether all hosts use the version, with the given digest unless
// it is empty.
func (f *fleet) inForce(hosts []*host, version uint64, digest string) bool {
	for _, h := range hosts {
		if s := h.status(); s.Version != version || (digest != "" && s.Digest != digest) || s.RulesLeftMs == 0 {
			return false
		}
	}
	return true
}

// TestRacingOperators has two operators submit different configurations under the
// same version number at once. Exactly one may be accepted, on all hosts.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 71, 4)
	for version := 2; version < 8; version++ {
		var group sync.WaitGroup
		for n, h := range f.hosts[:2] {
			group.Add(1)
			go func() {
				defer group.Done()
				f.writeConfiguration(h, version, fmt.Sprintf(`, "queue": {"length": %d, "wait_ms": 100}`, 10+n))
			}()
		}
		group.Wait()
		f.await(inForceWithin, "one of the two configurations is in force", func() bool { return f.inForce(f.hosts, uint64(version), "") })
		digest := f.hosts[0].status().Digest
		time.Sleep(300 * time.Millisecond)
		if !f.inForce(f.hosts, uint64(version), digest) {
			t.Fatalf("version %d changed its content after it was in force", version)
		}
	}
	var trail []struct{ Subject, Outcome string }
	f.hosts[3].getJSON("/audit", &trail)
	accepted, refused := 0, 0
	for _, r := range trail {
		accepted += strings.Count(r.Outcome, "accepted") - strings.Count(r.Outcome, "accepted again")
		if strings.HasPrefix(r.Outcome, "refused: the version was taken by") {
			refused++
		}
	}
	if accepted != 7 || refused < 6 {
		t.Errorf("%d accepted and %d refused, want 7 and at least 6", accepted, refused)
	}
}

// TestRestartAfterHundredsOfChanges restarts a daemon that missed 300 configuration
// changes. It must use the last version and none in between.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 72, 4)
	restarted := f.hosts[3]
	kill(restarted.daemon)
	last := uint64(1)
	for n := range 300 {
		f.writeConfiguration(f.hosts[0], n+2, "")
		time.Sleep(15 * time.Millisecond)
		last = uint64(n + 2)
	}
	f.await(inForceWithin, "the last change is in force", func() bool { return f.inForce(f.hosts[:3], last, "") })
	restarted.startDaemon()
	end := time.Now().Add(3 * time.Second)
	served := false
	for time.Now().Before(end) {
		s := restarted.status()
		if s.Version != 0 && s.Version != last {
			t.Fatalf("the daemon used version %d, the last is %d", s.Version, last)
		}
		served = served || s.Version == last
		time.Sleep(2 * time.Millisecond)
	}
	if !served {
		t.Error("the daemon did not learn of the last change")
	}
}

// TestCutOffDaemonStopsServing freezes all control replicas, so that a daemon cannot
// learn of configuration changes. After inForceWithin it must refuse all requests.
func TestCutOffDaemonStopsServing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 73, 4)
	isolated := f.hosts[3]
	for _, h := range f.hosts[:3] {
		_ = h.daemon.Signal(syscall.SIGSTOP)
	}
	f.await(inForceWithin, "the daemon refuses", func() bool { return isolated.status().RulesLeftMs == 0 })
	r := f.startTraffic(f.hosts[3:], keys...)
	time.Sleep(500 * time.Millisecond)
	for _, c := range r.finish() {
		if c.outcome != "refused" {
			t.Errorf("%s: %s, want refused", c.id, c.outcome)
		}
	}
	for _, h := range f.hosts[:3] {
		_ = h.daemon.Signal(syscall.SIGCONT)
	}
	f.await(5*time.Second, "all shards have owners again", func() bool { return f.minOwnedShards() == shards })
}
