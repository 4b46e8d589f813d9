package load

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// CellKeys is the number of adjacent keys of an ordered service that are counted together.
const CellKeys = 8

// CellOf returns the number of the cell that contains the key, from 0.
func CellOf(k table.Key) int { return int(k) / CellKeys }

// Cell counts the requests for a group of CellKeys adjacent keys.
type Cell struct {
	number   int
	requests uint64
}

// NewCell returns the number of requests for a cell.
func NewCell(number int, requests uint64) Cell { return Cell{number: number, requests: requests} }

// Number returns the number of the cell, from 0.
func (c Cell) Number() int { return c.number }

// Requests returns the number of requests.
func (c Cell) Requests() uint64 { return c.requests }

// TargetStats holds the processing statistics of a target.
type TargetStats struct {
	slots    int
	meanTime float64
	waiting  int
}

// NewTargetStats returns the statistics of a target that runs up to slots requests at once. meanTime is
// the mean service time in milliseconds, 0 if it is not known, and waiting the length of the
// queue.
func NewTargetStats(slots int, meanTime float64, waiting int) TargetStats {
	return TargetStats{slots: slots, meanTime: meanTime, waiting: waiting}
}

// Slots returns how many requests the target runs at once, 0 if that is not known.
func (s TargetStats) Slots() int { return s.slots }

// MeanTime returns the mean service time in milliseconds, 0 if it is not known.
func (s TargetStats) MeanTime() float64 { return s.meanTime }

// Waiting returns the number of requests that wait for a slot.
func (s TargetStats) Waiting() int { return s.waiting }

// WithCells returns the report with the counts of cells and the statistics of the target.
func (r Report) WithCells(cells []Cell, s TargetStats) Report {
	r.cells, r.targetStats = cells, s
	return r
}

// Cells returns the counts of the cells of an ordered service.
func (r Report) Cells() []Cell { return r.cells }

// TargetStats returns the statistics of the target, the zero value if the report has none.
func (r Report) TargetStats() TargetStats { return r.targetStats }

// WithCellRates sets the requests per second of each cell, by service, and the times at which
// a span of each service was last moved.
func WithCellRates(rates map[string][]float64, moved map[string]clock.Millis) ViewOption {
	return func(v *View) { v.cellRates, v.spanMoved = rates, moved }
}

// WithTargetStats sets the statistics of the target of each member.
func WithTargetStats(stats map[table.Incarnation]TargetStats) ViewOption {
	return func(v *View) { v.targetStats = stats }
}

// CellRates returns the requests per second of each cell of an ordered service; cells beyond
// the end of the list had no requests. The caller must not modify the list.
func (v View) CellRates(service string) []float64 { return v.cellRates[service] }

// SpanMoved returns when a span of the service was last moved, 0 if never.
func (v View) SpanMoved(service string) clock.Millis { return v.spanMoved[service] }

// TargetStats returns the statistics of the target of a member, the zero value if they are not known.
func (v View) TargetStats(i table.Incarnation) TargetStats { return v.targetStats[i] }
