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

// history is what two targets ran.
type history struct {
	mu     sync.Mutex
	random *rand.Rand
	ran    map[string]int
	active [2]int
	wrong  []string
}

func (h *history) draw(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

// begin notes that a target runs the request.
func (h *history) begin(target int, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ran[id]++
	h.active[target]++
	if h.active[1-target] > 0 {
		h.wrong = append(h.wrong, "both targets run requests for the key")
	}
}

func (h *history) end(target int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active[target]--
}

// target returns a server that fails now and then in every way it can.
func (h *history) target(t *testing.T, i int) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Id")
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		fault := h.draw(20)
		if fault == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.begin(i, id)
		defer h.end(i)
		time.Sleep(time.Duration(h.draw(5)) * time.Millisecond)
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

// handOver moves the shard between the owners until done closes, the way that the control
// goroutine does.
func handOver(all []*daemon, owners [2]*daemon, opts []rules.Option, done <-chan struct{}) {
	closed := snap.WithDraining(map[snap.ShardRef]bool{snap.NewShardRef(keyed, 0): true})
	for i := 0; ; i++ {
		from, to, epoch := owners[i%2], owners[(i+1)%2], table.Epoch(i+1)
		x := ownedBy(from, all, opts...)
		for _, d := range all {
			d.publish(x.With(uint64(i), table.NewOwnershipSet(keyed, 0, table.NewOwned(from.self, epoch))))
		}
		select {
		case <-done:
			return
		case <-time.After(60 * time.Millisecond):
		}
		for _, d := range all {
			d.publish(x.With(uint64(i), table.NewOwnershipSet(keyed, 0, table.NewMoving(from.self, to.self, epoch))), closed)
		}
		drained := make(chan struct{})
		from.owner.InFlight().Drained(keyed, 0, func() { close(drained) })
		<-drained
	}
}

// TestPromisesHoldUnderRandomFaults sends requests to all daemons while the shard moves to and
// fro and the targets fail at random.
func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	is := is.New(t)
	h := &history{random: rand.New(rand.NewPCG(7, 7)), ran: map[string]int{}}
	opts := []rules.Option{rules.WithShedding(rules.ShedNotRun{}), rules.WithSlots(4), rules.WithQueue(8, 30)}
	e, a, b := start(t, 1), start(t, 2), start(t, 3)
	a.target.Point(h.target(t, 0))
	b.target.Point(h.target(t, 1))
	all := []*daemon{e, a, b}
	done, moved := make(chan struct{}), make(chan struct{})
	go func() { defer close(moved); handOver(all, [2]*daemon{a, b}, opts, done) }()
	var wg sync.WaitGroup
	var mu sync.Mutex
	got, count := map[string]received{}, map[string]int{}
	for i := range 16 {
		wg.Go(func() {
			for j := range 100 {
				method := []string{"GET", "POST"}[h.draw(2)]
				id := fmt.Sprint(method, "-", i, "-", j)
				p, err := send(t, method, all[h.draw(3)].url+"/catalogue/k", strings.NewReader(strings.Repeat("x", h.draw(20_000))),
					"X-Id", id, "Verbena-Deadline-Ms", fmt.Sprint(50+h.draw(250)))
				if err != nil {
					p = received{outcome: "broken"}
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
		d.owner.InFlight().Empty(func() { close(empty) })
		<-empty
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t.Log(count)
	for id, p := range got {
		switch {
		case p.outcome == "answered" && p.status == 200 && p.content != id:
			t.Errorf("%s got %q", id, p.content)
		case strings.HasPrefix(p.outcome, "refused") && h.ran[id] > 0:
			t.Errorf("%s was %s, but ran", id, p.outcome)
		case strings.HasPrefix(id, "POST") && h.ran[id] > 1:
			t.Errorf("%s ran %d times", id, h.ran[id])
		}
	}
	is.Equal(len(h.wrong), 0)
	is.True(count["answered"] > 400)
}
