// Package sched measures how long goroutines of the process wait for a processor.
//
// When requests take all of its processor time, everything else in the process waits as long at each of its steps: a
// handshake or a renewal has about ten.
package sched

import (
	"math"
	"runtime/metrics"

	"verbenabank/core/clock"
)

const latencyMetric = "/sched/latencies:seconds"

// quantile of the waits that TakeLatency returns.
const quantile = 0.9

// Monitor reads the waits since its last reading. It is not safe for concurrent use.
type Monitor struct {
	sample []metrics.Sample
	counts []uint64 // of the last reading, by bucket
}

// New returns a monitor whose first reading covers the life of the process.
func New() *Monitor { return &Monitor{sample: []metrics.Sample{{Name: latencyMetric}}} }

// TakeLatency returns the time within which nine in ten goroutines got a processor since the last call, 0 if none waited.
func (m *Monitor) TakeLatency() clock.Millis {
	metrics.Read(m.sample)
	if m.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := m.sample[0].Value.Float64Histogram()
	latency := quantileSince(h, m.counts)
	m.counts = append(m.counts[:0], h.Counts...)
	return latency
}

// quantileSince returns the upper end of the bucket that has the quantile of what h counts beyond earlier.
func quantileSince(h *metrics.Float64Histogram, earlier []uint64) clock.Millis {
	added := make([]uint64, len(h.Counts))
	total := uint64(0)
	for i, n := range h.Counts {
		added[i] = n
		if i < len(earlier) {
			added[i] -= earlier[i]
		}
		total += added[i]
	}
	rest := float64(total) * (1 - quantile)
	for i := len(added) - 1; i >= 0; i-- {
		rest -= float64(added[i])
		if added[i] > 0 && rest < 0 {
			return upperEnd(h.Buckets, i)
		}
	}
	return 0
}

// upperEnd returns the upper end of a bucket, its lower end if the upper one is infinite.
func upperEnd(buckets []float64, i int) clock.Millis {
	end := buckets[i+1]
	if math.IsInf(end, 1) {
		end = buckets[i]
	}
	return clock.Millis(math.Ceil(end * float64(clock.Second)))
}
