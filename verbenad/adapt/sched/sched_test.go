package sched

import (
	"math"
	"runtime"
	"runtime/metrics"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/clock"
)

// TestQuantileCountsOnlyNewWaits guards against a process that looks saturated for its whole life after one busy second.
func TestQuantileCountsOnlyNewWaits(t *testing.T) {
	is := is.New(t)
	h := &metrics.Float64Histogram{Counts: []uint64{100, 0, 50}, Buckets: []float64{0, 0.001, 0.2, math.Inf(1)}}
	is.Equal(quantileSince(h, nil), 200*clock.Millisecond)
	h.Counts = []uint64{200, 5, 50}
	is.Equal(quantileSince(h, []uint64{100, 0, 50}), 1*clock.Millisecond)
	h.Counts = []uint64{200, 35, 50}
	is.Equal(quantileSince(h, []uint64{200, 0, 50}), 200*clock.Millisecond)
	is.Equal(quantileSince(h, h.Counts), clock.Millis(0))
}

// work uses a processor for a duration.
func work(d time.Duration) (rounds int) {
	for begin := time.Now(); time.Since(begin) < d; {
		rounds++
	}
	return rounds
}

// TestLatencyOfASaturatedProcessor keeps one processor busy with many goroutines.
func TestLatencyOfASaturatedProcessor(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	m := New()
	m.TakeLatency()
	end := time.Now().Add(300 * time.Millisecond)
	done := make(chan struct{})
	const goroutines = 200
	for range goroutines {
		go func() {
			for time.Now().Before(end) {
				work(time.Millisecond)
				runtime.Gosched()
			}
			done <- struct{}{}
		}()
	}
	for range goroutines {
		<-done
	}
	is.True(m.TakeLatency() >= 20*clock.Millisecond)
}
