package stats

import (
	"math"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// serviceTime is the service time of a target, averaged over the requests of its reports. Earlier requests weigh less.
type serviceTime struct {
	total    float64 // milliseconds
	requests float64
	updated  clock.Millis
}

// averageStats returns the statistics of the target in a report with its service time averaged over the capacity window.
// A report without requests says nothing new.
func (co *Collector) averageStats(i table.Incarnation, r load.Report, now clock.Millis) load.TargetStats {
	s := r.TargetStats()
	if co.capacityWindow == 0 {
		return s
	}
	requests := 0.0
	for _, c := range r.Cells() {
		requests += float64(c.Requests())
	}
	t := co.serviceTimes[i]
	decay := math.Exp(-float64(now.Sub(t.updated)) / float64(co.capacityWindow))
	t = serviceTime{total: t.total*decay + requests*s.MeanTime(), requests: t.requests*decay + requests, updated: now}
	co.serviceTimes[i] = t
	if t.requests < 1 {
		return s
	}
	return load.NewTargetStats(s.Slots(), t.total/t.requests, s.Waiting())
}
