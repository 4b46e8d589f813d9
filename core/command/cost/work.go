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
	waiting map[Class]int
	running map[*Ticket]struct{}
}

// NewWork returns the work left of a target without requests.
func NewWork() *Work {
	return &Work{model: New(), waiting: map[Class]int{}, running: map[*Ticket]struct{}{}}
}

// Ticket is one request, waiting until Start and running from then on.
type Ticket struct {
	class   Class
	started clock.Millis // 0 while it waits
	done    bool         // its time was recorded
	left    bool
}

// Enter adds a waiting request of the class.
func (w *Work) Enter(c Class) *Ticket {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting[c]++
	return &Ticket{class: c}
}

// Start records that the target runs the request from now on. A second call, after another connection was needed, replaces
// the first.
func (w *Work) Start(t *Ticket, now clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.left {
		return
	}
	if t.started == 0 {
		w.stopWaiting(t.class)
		w.running[t] = struct{}{}
	}
	t.started = now
}

func (w *Work) stopWaiting(c Class) {
	if w.waiting[c]--; w.waiting[c] <= 0 {
		delete(w.waiting, c)
	}
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
	if t.left {
		return
	}
	t.left = true
	if t.started == 0 {
		w.stopWaiting(t.class)
		return
	}
	delete(w.running, t)
	if t.done {
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
	n := len(w.running)
	for c, waiting := range w.waiting {
		time := w.model.Time(local, w.model.Estimate(c))
		sum += time * float64(waiting)
		times += time * float64(waiting)
		n += waiting
	}
	for t := range w.running {
		e := w.model.Estimate(t.class)
		speed := w.model.Speed(local, e)
		sum += w.model.Remaining(t.class, float64(now-t.started)*speed) / speed
		times += e.Mean() / speed
	}
	if n == 0 {
		return 0, 0
	}
	return clock.Millis(sum), clock.Millis(times / float64(n))
}
