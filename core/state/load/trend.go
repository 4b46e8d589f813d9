package load

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// Place names a shard of a service.
type Place struct {
	service string
	shard   table.Shard
}

// NewPlace returns the name of the shard.
func NewPlace(service string, s table.Shard) Place { return Place{service: service, shard: s} }

// Service returns the service.
func (p Place) Service() string { return p.service }

// Shard returns the shard.
func (p Place) Shard() table.Shard { return p.shard }

// Trend is the load of one shard and the history of its ownership.
type Trend struct {
	requests float64
	work     float64
	moved    clock.Millis
	former   string
}

// NewTrend returns the load of a shard with requests per second. Work is the
// same rate, with each request weighed by its cost beside the mean request of
// the service.
func NewTrend(requests, work float64) Trend { return Trend{requests: requests, work: work} }

// WithLoad returns the trend with other rates.
func (t Trend) WithLoad(requests, work float64) Trend {
	t.requests, t.work = requests, work
	return t
}

// WithMove returns the trend of a shard that got another owner at the instant,
// after the instance former.
func (t Trend) WithMove(at clock.Millis, former string) Trend {
	t.moved, t.former = at, former
	return t
}

// Requests returns the requests per second.
func (t Trend) Requests() float64 { return t.requests }

// Work returns the weighed requests per second.
func (t Trend) Work() float64 { return t.work }

// Moved returns when the shard last changed its owner, 0 if it was not seen to.
func (t Trend) Moved() clock.Millis { return t.moved }

// Former returns the instance that owned the shard before, or "".
func (t Trend) Former() string { return t.former }
