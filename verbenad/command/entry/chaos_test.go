package entry_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

// targetLog records the requests that two targets ran.
type targetLog struct {
	mu         sync.Mutex
	random     *rand.Rand
	executions map[string]int // by request
	active     [2]int         // requests in flight at each target
	violations []string
}

func (l *targetLog) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.IntN(n)
}

// begin records that a target runs the request, and a violation if the other target runs one at
// the same time.
func (l *targetLog) begin(target int, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[id]++
	l.active[target]++
	if l.active[1-target] > 0 {
		l.violations = append(l.violations, "both targets run requests for the key")
	}
}

func (l *targetLog) end(target int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active[target]--
}

// newTarget starts a target and returns its address. Of 20 requests, on average one is rejected, one
// ends with a dropped connection, one with a response shorter than announced, one hangs until the
// daemon cancels it, and one is answered with the connection closed after it.
func (l *targetLog) newTarget(t *testing.T, i int) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Id")
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		fault := l.intN(20)
		if fault == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		l.begin(i, id)
		defer l.end(i)
		time.Sleep(time.Duration(l.intN(5)) * time.Millisecond)
		switch fault {
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			w.Header().Set("Content-Length", fmt.Sprint(len(id)+1))
		case 3:
			<-r.Context().Done()
		case 4:
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, id)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// alternateOwner hands the shard over between the two owners until done is closed, with the same
// steps as the control goroutine.
func alternateOwner(all []*daemon, owners [2]*daemon, opts []rules.Option, done <-chan struct{}) {
	draining := snap.WithDraining(map[snap.ShardRef]bool{snap.NewShardRef(keyedService, 0): true})
	for i := 0; ; i++ {
		from, to, epoch := owners[i%2], owners[(i+1)%2], table.Epoch(i+1)
		x := tableOwnedBy(from, all, opts...)
		for _, d := range all {
			d.publish(x.With(uint64(i), table.NewOwnershipSet(keyedService, 0, table.NewOwned(from.self, epoch))))
		}
		select {
		case <-done:
			return
		case <-time.After(60 * time.Millisecond):
		}
		for _, d := range all {
			d.publish(x.With(uint64(i), table.NewOwnershipSet(keyedService, 0, table.NewMoving(from.self, to.self, epoch))), draining)
		}
		drained := make(chan struct{})
		from.owner.InFlight().OnDrained(keyedService, 0, func() { close(drained) })
		<-drained
	}
}

// TestGuaranteesHoldUnderRandomFaults sends requests to all daemons while the shard is handed over
// again and again and the targets fail at random. No refused request may have run, no POST may run
// twice, and the two targets may never run requests at the same time.
func TestGuaranteesHoldUnderRandomFaults(t *testing.T) {
	is := is.New(t)
	l := &targetLog{random: rand.New(rand.NewPCG(7, 7)), executions: map[string]int{}}
	opts := []rules.Option{rules.WithShedding(rules.ShedNotRun{}), rules.WithSlots(4), rules.WithQueue(8, 30)}
	e, a, b := startDaemon(t, 1), startDaemon(t, 2), startDaemon(t, 3)
	a.target.SetAddress(l.newTarget(t, 0))
	b.target.SetAddress(l.newTarget(t, 1))
	all := []*daemon{e, a, b}
	done, moved := make(chan struct{}), make(chan struct{})
	go func() { defer close(moved); alternateOwner(all, [2]*daemon{a, b}, opts, done) }()
	var wg sync.WaitGroup
	var mu sync.Mutex
	got, count := map[string]response{}, map[string]int{}
	for i := range 16 {
		wg.Go(func() {
			for j := range 100 {
				method := []string{"GET", "POST"}[l.intN(2)]
				id := fmt.Sprint(method, "-", i, "-", j)
				p, err := send(t, method, all[l.intN(3)].url+"/catalogue/k", strings.NewReader(strings.Repeat("x", l.intN(20_000))),
					"X-Id", id, "Verbena-Deadline-Ms", fmt.Sprint(50+l.intN(250)))
				if err != nil {
					p = response{outcome: "broken"}
				}
				mu.Lock()
				got[id] = p
				count[p.outcome]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	close(done)
	<-moved
	for _, d := range all {
		empty := make(chan struct{})
		d.owner.InFlight().OnAllDrained(func() { close(empty) })
		<-empty
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Log(count)
	for id, p := range got {
		switch {
		case p.outcome == "answered" && p.status == 200 && p.content != id:
			t.Errorf("%s got %q", id, p.content)
		case strings.HasPrefix(p.outcome, "refused") && l.executions[id] > 0:
			t.Errorf("%s was %s, but ran", id, p.outcome)
		case strings.HasPrefix(id, "POST") && l.executions[id] > 1:
			t.Errorf("%s ran %d times", id, l.executions[id])
		}
	}
	is.Equal(len(l.violations), 0)
	is.True(count["answered"] > 400)
}
