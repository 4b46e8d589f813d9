// Package logs writes log lines without ever making their writers wait.
//
// Lines go through a bounded queue to one goroutine. While the reader of the output is slow or
// blocked, lines beyond the queue are dropped and counted; the count is written as soon as
// the output takes lines again.
package logs

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLength is how many lines may wait.
	queueLength = 2048
	// flushWithin is how long the end of a process waits for lines in the queue.
	flushWithin = 300 * time.Millisecond
)

// Writer queues lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	dropped atomic.Int64
	total   atomic.Int64
}

// New returns a writer to out, and its clean-up function, which waits a little for the lines
// that are queued.
func New(out io.Writer) (*Writer, func()) {
	w := &Writer{out: out, queue: make(chan []byte, queueLength), stop: make(chan struct{}), done: make(chan struct{})}
	go w.serve()
	return w, w.close
}

// Write queues one line, or drops and counts it. It never fails and never waits.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.queue <- slices.Clone(p):
	default:
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() int64 { return w.total.Load() }

func (w *Writer) serve() {
	defer close(w.done)
	for {
		select {
		case p := <-w.queue:
			w.put(p)
		case <-w.stop:
			for len(w.queue) > 0 {
				w.put(<-w.queue)
			}
			return
		}
	}
}

// put writes a line, and before it how many were dropped. An output that fails cannot be told
// about; its lines count as dropped.
func (w *Writer) put(p []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		line := fmt.Sprintf("{\"level\":\"warning\",\"msg\":\"logs: lines were dropped\",\"dropped\":%d}\n", n)
		if _, err := io.WriteString(w.out, line); err != nil {
			w.total.Add(1)
		}
	}
	if _, err := w.out.Write(p); err != nil {
		w.total.Add(1)
	}
}

func (w *Writer) close() {
	w.once.Do(func() {
		close(w.stop)
		select {
		case <-w.done:
		case <-time.After(flushWithin):
		}
	})
}
