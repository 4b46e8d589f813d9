package metric

import (
	"math"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/ledger"
)

// Imbalance measures how unevenly the load was spread over the servers of a service.
type Imbalance struct {
	ratio     float64
	variation float64
}

// Ratio returns the ratio of the highest busy time of a server to the mean, averaged
// over windows of 1 s that are weighted by their total busy time. 1 is even.
func (i Imbalance) Ratio() float64 { return i.ratio }

// Variation returns the coefficient of variation of the busy times, averaged over
// the same weighted windows. 0 is even.
func (i Imbalance) Variation() float64 { return i.variation }

// NewImbalance computes the imbalance among the instances between two instants. An
// instance is excluded from each window that overlaps an outage of it.
func NewImbalance(executions []ledger.Execution, instances []string, outages []layout.Outage, from, to clock.Millis) Imbalance {
	windows := int((to - from + window - 1) / window)
	busy := make(map[string][]float64, len(instances))
	for _, i := range instances {
		busy[i] = make([]float64, windows)
	}
	for _, x := range executions {
		if b, ok := busy[x.Instance()]; ok && x.MayHaveCommitted() {
			addBusyTime(b, x.Begin()-from, x.End()-from)
		}
	}
	var sum Imbalance
	weight := 0.0
	for w := range windows {
		start := from + clock.Millis(w)*window
		var times []float64
		for _, i := range instances {
			if !hasOutage(outages, i, start, start+window) {
				times = append(times, busy[i][w])
			}
		}
		ratio, variation, total := imbalance(times)
		sum.ratio += ratio * total
		sum.variation += variation * total
		weight += total
	}
	if weight == 0 {
		return Imbalance{}
	}
	return Imbalance{ratio: sum.ratio / weight, variation: sum.variation / weight}
}

// addBusyTime distributes the time from begin to end over the windows that it
// overlaps.
func addBusyTime(busy []float64, begin, end clock.Millis) {
	for w := range busy {
		start := clock.Millis(w) * window
		if part := min(end, start+window) - max(begin, start); part > 0 {
			busy[w] += float64(part)
		}
	}
}

// imbalance returns the ratio of the highest time to the mean, the coefficient of
// variation, and the total. All are 0 if the total is.
func imbalance(times []float64) (ratio, variation, total float64) {
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

func hasOutage(outages []layout.Outage, instance string, from, to clock.Millis) bool {
	return slices.ContainsFunc(outages, func(o layout.Outage) bool {
		return o.Instance() == instance && o.Overlaps(from, to)
	})
}
