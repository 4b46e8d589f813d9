package proof

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"verbenabank/vload/command/target"
)

// slowDown multiplies the service times of the target by factor.
func (h *host) slowDown(factor string) {
	h.t.Helper()
	a, err := http.Post("http://"+h.ip+":9000"+target.TunePath, "application/json", strings.NewReader(`{"factor": `+factor+`}`))
	if err != nil {
		h.t.Fatal(err)
	}
	_ = a.Body.Close()
}

// checkInDoubt abandons slow requests while the target runs them and then stops the
// daemon, so that their shards move while the outcome is in doubt. The successor
// must serve the keys, and no request may run twice. With freezeTarget the target
// also stops responding.
func (f *fleet) checkInDoubt(freezeTarget bool) {
	f.t.Helper()
	victim := f.hosts[3]
	entries, owned := f.hostsExcept(victim), f.keysOf(victim)
	victim.slowDown("100")
	var group sync.WaitGroup
	abandoned := make([]call, len(owned))
	for n, k := range owned {
		group.Go(func() {
			abandoned[n] = post(&http.Client{Timeout: 200 * time.Millisecond}, entries[0], k, "given-up-"+k)
		})
	}
	group.Wait()
	if freezeTarget {
		_ = victim.target.Signal(syscall.SIGSTOP)
	}
	_ = victim.daemon.Signal(syscall.SIGTERM)
	r := f.startTraffic(entries, owned...)
	if err := victim.daemon.Wait(); err != nil {
		f.t.Errorf("the daemon ended with %v", err)
	}
	time.Sleep(time.Second)
	_ = victim.target.Signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	calls := r.finish()
	f.checkCalls(append(calls, abandoned...))
	for _, c := range abandoned {
		if c.outcome != "unknown" {
			f.t.Errorf("%s: %s %s, want unknown, since its caller timed out", c.id, c.outcome, c.reason)
		}
		if len(answerTimes(calls, c.key, c.end)) == 0 {
			f.t.Errorf("key %s was not served by the successor", c.key)
		}
	}
}

func TestRequestInDoubtWhileItsShardMoves(t *testing.T) {
	t.Parallel()
	newFleet(t, 86, 4).checkInDoubt(false)
}

func TestRequestInDoubtAtAFrozenTarget(t *testing.T) {
	t.Parallel()
	newFleet(t, 87, 4).checkInDoubt(true)
}
