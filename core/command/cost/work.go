package cost

import (
	"slices"
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
	waiting []classCount
	running []*Ticket
}

// classCount is the number of waiting requests of a class.
type classCount struct {
	class Class
	n     int
}

// NewWork returns the work left of a target without requests.
func NewWork() *Work { return &Work{model: New()} }

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
	if i := w.waitingIndex(c); i >= 0 {
		w.waiting[i].n++
	} else {
		w.waiting = append(w.waiting, classCount{class: c, n: 1})
	}
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
		w.running = append(w.running, t)
	}
	t.started = now
}

func (w *Work) stopWaiting(c Class) {
	i := w.waitingIndex(c)
	if w.waiting[i].n--; w.waiting[i].n == 0 {
		w.waiting = slices.Delete(w.waiting, i, i+1)
	}
}

func (w *Work) waitingIndex(c Class) int {
	return slices.IndexFunc(w.waiting, func(x classCount) bool { return x.class == c })
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
	if i := slices.Index(w.running, t); i >= 0 {
		w.running = slices.Delete(w.running, i, i+1)
	}
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
	for _, c := range w.waiting {
		time := w.model.Time(local, w.model.Estimate(c.class)) * float64(c.n)
		sum += time
		times += time
		n += c.n
	}
	for _, t := range w.running {
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
