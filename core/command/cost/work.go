package cost

import (
	"sync"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// local identifies the only target of a Work in its model.
const local table.Incarnation = 0

// Work sums up the work left of one target: the expected rests of the requests that it runs, and the expected times
// of those that wait. It is safe for concurrent use.
type Work struct {
	model *Model

	mu      sync.Mutex
	tickets map[*Ticket]struct{}
}

// NewWork returns the work left of a target without requests.
func NewWork() *Work { return &Work{model: New(), tickets: map[*Ticket]struct{}{}} }

// Ticket is one request, waiting until Start and running from then on.
type Ticket struct {
	class   Class
	started clock.Millis // 0 while it waits
	done    bool         // its time was recorded
}

// Enter adds a waiting request of the class.
func (w *Work) Enter(c Class) *Ticket {
	t := &Ticket{class: c}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tickets[t] = struct{}{}
	return t
}

// Start records that the target runs the request from now on.
func (w *Work) Start(t *Ticket, now clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.started = now
}

// Answered records the time that the request took, and returns it. It must be called only for requests that the
// target has run without an error: others say little about the cost.
func (w *Work) Answered(t *Ticket, now clock.Millis) clock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.started == 0 {
		return 0
	}
	took := now - t.started
	if !t.done {
		t.done = true
		w.model.Observe(local, t.class, float64(took), now)
	}
	return took
}

// Leave removes the request. If it ran for longer than expected without an answer, its time counts as far as it is
// known: a target that answers nothing in time must not look fast.
func (w *Work) Leave(t *Ticket, now clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tickets, t)
	if t.done || t.started == 0 {
		return
	}
	if took := float64(now - t.started); took > w.model.Time(local, w.model.Estimate(t.class)) {
		t.done = true
		w.model.Observe(local, t.class, took, now)
	}
}

// Left returns the work left at now in milliseconds at the present speed of the target, and the mean time of the
// requests there, 0 if there are none.
func (w *Work) Left(now clock.Millis) (left, mean clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sum, times float64
	for t := range w.tickets {
		e := w.model.Estimate(t.class)
		time := w.model.Time(local, e)
		times += time
		if t.started == 0 {
			sum += time
			continue
		}
		slow := time / e.Mean()
		sum += w.model.Remaining(t.class, float64(now-t.started)/slow) * slow
	}
	if len(w.tickets) > 0 {
		mean = clock.Millis(times / float64(len(w.tickets)))
	}
	return clock.Millis(sum), mean
}
