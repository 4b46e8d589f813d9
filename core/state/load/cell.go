package load

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// CellKeys is how many neighboring keys of an ordered service are counted together.
const CellKeys = 8

// CellOf returns the number of the cell that has the key.
func CellOf(k table.Key) int { return int(k) / CellKeys }

// Cell counts the requests for neighboring keys.
type Cell struct {
	number   int
	requests uint64
}

// NewCell returns the count of requests for a cell.
func NewCell(number int, requests uint64) Cell { return Cell{number: number, requests: requests} }

// Number returns the number of the cell, from 0.
func (c Cell) Number() int { return c.number }

// Requests returns the count of requests.
func (c Cell) Requests() uint64 { return c.requests }

// TargetStats says how fast a target works.
type TargetStats struct {
	slots   int
	mean    float64
	waiting int
}

// NewTargetStats returns the pace of a target that runs slots requests at once, each for mean
// milliseconds, while so many wait for it. A mean of 0 is not known.
func NewTargetStats(slots int, mean float64, waiting int) TargetStats {
	return TargetStats{slots: slots, mean: mean, waiting: waiting}
}

// Slots returns how many requests the target runs at once, 0 if it is not known.
func (p TargetStats) Slots() int { return p.slots }

// MeanTime returns the time of a request in milliseconds, 0 if it is not known.
func (p TargetStats) MeanTime() float64 { return p.mean }

// Waiting returns how many requests wait for a slot.
func (p TargetStats) Waiting() int { return p.waiting }

// WithCells returns the report with counts of cells and the pace of the target.
func (r Report) WithCells(cells []Cell, p TargetStats) Report {
	r.cells, r.pace = cells, p
	return r
}

// Cells returns the counts of cells.
func (r Report) Cells() []Cell { return r.cells }

// TargetStats returns the pace of the target.
func (r Report) TargetStats() TargetStats { return r.pace }

// WithCellRates sets the requests per second of each cell, by service, and the instants at
// which spans of a service were moved last.
func WithCellRates(rates map[string][]float64, moved map[string]clock.Millis) ViewOption {
	return func(v *View) { v.rates, v.spanMoved = rates, moved }
}

// WithTargetStats sets the paces of members.
func WithTargetStats(paces map[table.Incarnation]TargetStats) ViewOption {
	return func(v *View) { v.paces = paces }
}

// CellRates returns the requests per second of each cell of an ordered service; cells beyond
// its end have none. It must not be changed.
func (v View) CellRates(service string) []float64 { return v.rates[service] }

// SpanMoved returns when a span of the service was moved last, 0 if none was.
func (v View) SpanMoved(service string) clock.Millis { return v.spanMoved[service] }

// TargetStats returns the pace of a member's target, with a mean of 0 if it is not known.
func (v View) TargetStats(i table.Incarnation) TargetStats { return v.paces[i] }
