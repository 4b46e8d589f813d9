package gauge

import (
	"math"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// cellDecayMs is the time in milliseconds after which a count of a cell weighs 1/e.
const cellDecayMs = 1500.0

// SpanMoved takes note of a change of owner of keys of an ordered service.
func (g *Gauge) SpanMoved(service string, now clock.Millis) { g.spanMovedAt[service] = now }

// Count takes the counts of cells of a member that owns the spans.
func (g *Gauge) Count(i table.Incarnation, service string, spans []table.Span, r load.Report, now clock.Millis) {
	if r.Pace().Slots() > 0 {
		g.paces[i] = r.Pace()
	}
	last, known := g.cellsReportedAt[i]
	if known && now.Sub(last) < reportInterval/4 {
		return
	}
	g.cellsReportedAt[i] = now
	span := float64(reportInterval)
	if known {
		span = min(float64(now.Sub(last)), 2*span)
	}
	weight := 1 - math.Exp(-span/cellDecayMs)
	for _, s := range spans {
		rates := g.ratesFor(service, load.CellOf(s.Last()))
		for c := load.CellOf(s.First()); c <= load.CellOf(s.Last()); c++ {
			rates[c] *= 1 - weight
		}
	}
	for _, c := range r.Cells() {
		if c.Number() < 0 || c.Number() > maxCells {
			continue
		}
		g.ratesFor(service, c.Number())[c.Number()] += weight * float64(c.Requests()) * float64(clock.Second) / span
	}
}

// maxCells bounds the cells that a report may name.
const maxCells = 1 << 20

// ratesFor returns the rates of a service with room for the cell.
func (g *Gauge) ratesFor(service string, cell int) []float64 {
	rates := g.cellRates[service]
	if n := cell + 1 - len(rates); n > 0 {
		rates = append(rates, make([]float64, n)...)
		g.cellRates[service] = rates
	}
	return rates
}
