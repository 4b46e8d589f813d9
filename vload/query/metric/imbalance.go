package metric

import (
	"math"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/ledger"
)

// Imbalance says how unevenly the servers of a service were busy.
type Imbalance struct {
	ratio     float64
	variation float64
}

// Ratio returns the busy time of the busiest server divided by the mean, over
// windows of 1 s weighted by their busy time. 1 is even.
func (i Imbalance) Ratio() float64 { return i.ratio }

// Variation returns the coefficient of variation of the busy times, weighted
// likewise. 0 is even.
func (i Imbalance) Variation() float64 { return i.variation }

// NewImbalance returns the imbalance among the instances between two instants.
// An instance counts in no window that an outage of it touches.
func NewImbalance(executions []ledger.Execution, instances []string, outages []layout.Outage, from, to clock.Millis) Imbalance {
	windows := int((to - from + window - 1) / window)
	busy := make(map[string][]float64, len(instances))
	for _, i := range instances {
		busy[i] = make([]float64, windows)
	}
	for _, x := range executions {
		if b, ok := busy[x.Instance()]; ok && x.MayHaveCommitted() {
			spread(b, x.Begin()-from, x.End()-from)
		}
	}
	var sum Imbalance
	weight := 0.0
	for w := range windows {
		start := from + clock.Millis(w)*window
		var times []float64
		for _, i := range instances {
			if !down(outages, i, start, start+window) {
				times = append(times, busy[i][w])
			}
		}
		ratio, variation, total := compare(times)
		sum.ratio += ratio * total
		sum.variation += variation * total
		weight += total
	}
	if weight == 0 {
		return Imbalance{}
	}
	return Imbalance{ratio: sum.ratio / weight, variation: sum.variation / weight}
}

// spread adds the time from begin to end to the windows that it touches.
func spread(busy []float64, begin, end clock.Millis) {
	for w := range busy {
		start := clock.Millis(w) * window
		if part := min(end, start+window) - max(begin, start); part > 0 {
			busy[w] += float64(part)
		}
	}
}

// compare returns the greatest time over the mean, the coefficient of variation,
// and the sum.
func compare(times []float64) (ratio, variation, total float64) {
	for _, t := range times {
		total += t
	}
	if total == 0 {
		return 0, 0, 0
	}
	mean := total / float64(len(times))
	squares := 0.0
	for _, t := range times {
		squares += (t - mean) * (t - mean)
	}
	return slices.Max(times) / mean, math.Sqrt(squares/float64(len(times))) / mean, total
}

func down(outages []layout.Outage, instance string, from, to clock.Millis) bool {
	return slices.ContainsFunc(outages, func(o layout.Outage) bool {
		return o.Instance() == instance && o.Overlaps(from, to)
	})
}
