package stats

import (
	"math"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// cellMemory is the time in milliseconds after which a count of a cell weighs 1/e.
const cellMemory = 1500.0

// SpanMoved takes note of a change of owner of keys of an ordered service.
func (g *Collector) SpanMoved(service string, now clock.Millis) { g.moved[service] = now }

// RecordCells takes the counts of cells of a member that owns the spans.
func (g *Collector) RecordCells(i table.Incarnation, service string, spans []table.Span, r load.Report, now clock.Millis) {
	if r.TargetStats().Slots() > 0 {
		g.paces[i] = r.TargetStats()
	}
	last, known := g.counted[i]
	if known && now.Sub(last) < reportEvery/4 {
		return
	}
	g.counted[i] = now
	span := float64(reportEvery)
	if known {
		span = min(float64(now.Sub(last)), 2*span)
	}
	weight := 1 - math.Exp(-span/cellMemory)
	for _, s := range spans {
		rates := g.room(service, load.CellOf(s.Last()))
		for c := load.CellOf(s.First()); c <= load.CellOf(s.Last()); c++ {
			rates[c] *= 1 - weight
		}
	}
	for _, c := range r.Cells() {
		if c.Number() < 0 || c.Number() > mostCells {
			continue
		}
		g.room(service, c.Number())[c.Number()] += weight * float64(c.Requests()) * float64(clock.Second) / span
	}
}

// mostCells bounds the cells that a report may name.
const mostCells = 1 << 20

// room returns the rates of a service with room for the cell.
func (g *Collector) room(service string, cell int) []float64 {
	rates := g.rates[service]
	if n := cell + 1 - len(rates); n > 0 {
		rates = append(rates, make([]float64, n)...)
		g.rates[service] = rates
	}
	return rates
}
