// Package logs provides a log output that never blocks its callers.
//
// Lines pass through a bounded queue to one goroutine. While the reader of the output is slow or
// blocked, lines that do not fit into the queue are dropped and counted; the count is logged as
// soon as the output accepts lines again.
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
	// queueLength is the capacity of the queue in lines.
	queueLength = 2048
	// flushTimeout bounds how long the exit of a process waits for queued lines.
	flushTimeout = 300 * time.Millisecond
)

// Writer is an io.Writer that queues lines. It is safe for concurrent use.
type Writer struct {
	out          io.Writer
	queue        chan []byte
	stop         chan struct{}
	done         chan struct{}
	once         sync.Once
	unreported   atomic.Int64
	droppedTotal atomic.Int64
}

// New returns a writer to out and a function that closes it, which writes the queued lines
// for at most 300 ms.
func New(out io.Writer) (*Writer, func()) {
	w := &Writer{out: out, queue: make(chan []byte, queueLength), stop: make(chan struct{}), done: make(chan struct{})}
	go w.serve()
	return w, w.close
}

// Write queues a copy of one line, or drops and counts it if the queue is full. It never fails
// and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- slices.Clone(line):
	default:
		w.unreported.Add(1)
		w.droppedTotal.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start, with those that the output
// failed to write.
func (w *Writer) Dropped() int64 { return w.droppedTotal.Load() }

func (w *Writer) serve() {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		case <-w.stop:
			for len(w.queue) > 0 {
				w.writeLine(<-w.queue)
			}
			return
		}
	}
}

// writeLine writes a line, preceded by a notice if lines were dropped since the last one. A failure
// of the output cannot be logged, so its lines count as dropped.
func (w *Writer) writeLine(line []byte) {
	if n := w.unreported.Swap(0); n > 0 {
		notice := fmt.Sprintf("{\"level\":\"warning\",\"msg\":\"logs: lines were dropped\",\"dropped\":%d}\n", n)
		if _, err := io.WriteString(w.out, notice); err != nil {
			w.droppedTotal.Add(1)
		}
	}
	if _, err := w.out.Write(line); err != nil {
		w.droppedTotal.Add(1)
	}
}

func (w *Writer) close() {
	w.once.Do(func() {
		close(w.stop)
		select {
		case <-w.done:
		case <-time.After(flushTimeout):
		}
	})
}
