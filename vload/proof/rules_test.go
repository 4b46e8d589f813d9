package proof

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// inForceWithin is the users' bound on the time until an accepted configuration
// is in force everywhere.
const inForceWithin = 4 * time.Second

// inForce reports whether the hosts use the version, and the digest if one is
// given.
func (f *fleet) inForce(hosts []*host, version uint64, digest string) bool {
	for _, h := range hosts {
		if s := h.state(); s.Version != version || (digest != "" && s.Digest != digest) || s.Rules == 0 {
			return false
		}
	}
	return true
}

// TestRacingOperators lets two operators take the same version number at once.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 71, 4)
	for version := 2; version < 8; version++ {
		var group sync.WaitGroup
		for n, h := range f.hosts[:2] {
			group.Add(1)
			go func() {
				defer group.Done()
				f.configure(h, version, fmt.Sprintf(`, "queue": {"length": %d, "wait_ms": 100}`, 10+n))
			}()
		}
		group.Wait()
		f.await(inForceWithin, "one of the racers is in force", func() bool { return f.inForce(f.hosts, uint64(version), "") })
		digest := f.hosts[0].state().Digest
		time.Sleep(300 * time.Millisecond)
		if !f.inForce(f.hosts, uint64(version), digest) {
			t.Fatalf("version %d changed its content after it was in force", version)
		}
	}
	var trail []struct{ Subject, Outcome string }
	f.hosts[3].get("/audit", &trail)
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

// TestRestartAfterHundredsOfChanges lets a daemon miss 300 changes.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 72, 4)
	late := f.hosts[3]
	kill(late.daemon)
	last := uint64(1)
	for n := range 300 {
		f.configure(f.hosts[0], n+2, "")
		time.Sleep(15 * time.Millisecond)
		last = uint64(n + 2)
	}
	f.await(inForceWithin, "the last change is in force", func() bool { return f.inForce(f.hosts[:3], last, "") })
	late.startDaemon()
	end := time.Now().Add(3 * time.Second)
	served := false
	for time.Now().Before(end) {
		s := late.state()
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

// TestCutOffDaemonStopsServing freezes all control replicas, so that nobody can
// know of a change: within the bound the others answer nothing.
func TestCutOffDaemonStopsServing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 73, 4)
	alone := f.hosts[3]
	for _, h := range f.hosts[:3] {
		_ = h.daemon.Signal(syscall.SIGSTOP)
	}
	f.await(inForceWithin, "the daemon refuses", func() bool { return alone.state().Rules == 0 })
	r := f.send(f.hosts[3:], keys...)
	time.Sleep(500 * time.Millisecond)
	for _, c := range r.finish() {
		if c.outcome != "refused" {
			t.Errorf("%s: %s, want refused", c.id, c.outcome)
		}
	}
	for _, h := range f.hosts[:3] {
		_ = h.daemon.Signal(syscall.SIGCONT)
	}
	f.await(5*time.Second, "all shards have owners again", func() bool { return f.owned() == shards })
}
