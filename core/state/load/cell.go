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

// Pace says how fast a target works.
type Pace struct {
	slots   int
	mean    float64
	waiting int
}

// NewPace returns the pace of a target that runs slots requests at once, each for mean
// milliseconds, while so many wait for it. A mean of 0 is not known.
func NewPace(slots int, mean float64, waiting int) Pace {
	return Pace{slots: slots, mean: mean, waiting: waiting}
}

// Slots returns how many requests the target runs at once, 0 if it is not known.
func (p Pace) Slots() int { return p.slots }

// Mean returns the time of a request in milliseconds, 0 if it is not known.
func (p Pace) Mean() float64 { return p.mean }

// Waiting returns how many requests wait for a slot.
func (p Pace) Waiting() int { return p.waiting }

// WithCells returns the report with counts of cells and the pace of the target.
func (r Report) WithCells(cells []Cell, p Pace) Report {
	r.cells, r.pace = cells, p
	return r
}

// Cells returns the counts of cells.
func (r Report) Cells() []Cell { return r.cells }

// Pace returns the pace of the target.
func (r Report) Pace() Pace { return r.pace }

// WithCellRates sets the requests per second of each cell, by service, and the instants at
// which spans of a service were moved last.
func WithCellRates(rates map[string][]float64, moved map[string]clock.Millis) ViewOption {
	return func(v *View) { v.rates, v.spanMoved = rates, moved }
}

// WithPaces sets the paces of members.
func WithPaces(paces map[table.Incarnation]Pace) ViewOption {
	return func(v *View) { v.paces = paces }
}

// Rates returns the requests per second of each cell of an ordered service; cells beyond
// its end have none. It must not be changed.
func (v View) Rates(service string) []float64 { return v.rates[service] }

// SpanMoved returns when a span of the service was moved last, 0 if none was.
func (v View) SpanMoved(service string) clock.Millis { return v.spanMoved[service] }

// Pace returns the pace of a member's target, with a mean of 0 if it is not known.
func (v View) Pace(i table.Incarnation) Pace { return v.paces[i] }
