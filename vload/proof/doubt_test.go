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

// slow makes the requests at a target take many times as long.
func (h *host) slow(factor string) {
	h.t.Helper()
	a, err := http.Post("http://"+h.ip+":9000"+target.TunePath, "application/json", strings.NewReader(`{"factor": `+factor+`}`))
	if err != nil {
		h.t.Fatal(err)
	}
	_ = a.Body.Close()
}

// doubt gives up slow requests while they run, and lets their shards move at once.
func (f *fleet) doubt(frozen bool) {
	f.t.Helper()
	victim := f.hosts[3]
	entries, owned := f.others(victim), f.keysOf(victim)
	victim.slow("100")
	var group sync.WaitGroup
	given := make([]call, len(owned))
	for n, k := range owned {
		group.Go(func() {
			given[n] = post(&http.Client{Timeout: 200 * time.Millisecond}, entries[0], k, "given-up-"+k)
		})
	}
	group.Wait()
	if frozen {
		_ = victim.target.Signal(syscall.SIGSTOP)
	}
	_ = victim.daemon.Signal(syscall.SIGTERM)
	r := f.send(entries, owned...)
	if err := victim.daemon.Wait(); err != nil {
		f.t.Errorf("the daemon ended with %v", err)
	}
	time.Sleep(time.Second)
	_ = victim.target.Signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	calls := r.finish()
	f.judge(append(calls, given...))
	for _, c := range given {
		if c.outcome != "unknown" {
			f.t.Errorf("%s: %s %s; it was to be given up", c.id, c.outcome, c.reason)
		}
		if len(answers(calls, c.key, c.end)) == 0 {
			f.t.Errorf("key %s was not served by the successor", c.key)
		}
	}
}

func TestRequestInDoubtWhileItsShardMoves(t *testing.T) {
	t.Parallel()
	newFleet(t, 86, 4).doubt(false)
}

func TestRequestInDoubtAtAFrozenTarget(t *testing.T) {
	t.Parallel()
	newFleet(t, 87, 4).doubt(true)
}
