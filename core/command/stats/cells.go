package stats

import (
	"math"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// cellDecayMs is the time constant of the cell rates in milliseconds: after it, a count weighs 1/e.
const cellDecayMs = 1500.0

// SpanMoved records that keys of an ordered service changed their owner at now.
func (co *Collector) SpanMoved(service string, now clock.Millis) { co.spanMovedAt[service] = now }

// RecordCells records the target statistics and the cell counts in the report of a member that owns
// the spans. Cell counts that come within a quarter of reportInterval after the previous ones are
// ignored.
func (co *Collector) RecordCells(i table.Incarnation, service string, spans []table.Span, r load.Report, now clock.Millis) {
	if r.TargetStats().Slots() > 0 {
		co.targetStats[i] = co.averageStats(i, r, now)
	}
	last, known := co.cellsReportedAt[i]
	if known && now.Sub(last) < reportInterval/4 {
		return
	}
	co.cellsReportedAt[i] = now
	elapsed := float64(reportInterval)
	if known {
		elapsed = min(float64(now.Sub(last)), 2*elapsed)
	}
	weight := 1 - math.Exp(-elapsed/cellDecayMs)
	for _, s := range spans {
		rates := co.ratesFor(service, load.CellOf(s.Last()))
		for c := load.CellOf(s.First()); c <= load.CellOf(s.Last()); c++ {
			rates[c] *= 1 - weight
		}
	}
	for _, c := range r.Cells() {
		if c.Number() < 0 || c.Number() > maxCells {
			continue
		}
		co.ratesFor(service, c.Number())[c.Number()] += weight * float64(c.Requests()) * float64(clock.Second) / elapsed
	}
}

// maxCells is the highest cell number that a report may contain; it bounds the memory that a report
// can make the leader allocate.
const maxCells = 1 << 20

// ratesFor returns the cell rates of a service, extended so that the cell is a valid index.
func (co *Collector) ratesFor(service string, cell int) []float64 {
	rates := co.cellRates[service]
	if n := cell + 1 - len(rates); n > 0 {
		rates = append(rates, make([]float64, n)...)
		co.cellRates[service] = rates
	}
	return rates
}
