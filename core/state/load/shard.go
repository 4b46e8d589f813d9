package load

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// Place identifies a shard by its service and number.
type Place struct {
	service string
	shard   table.Shard
}

// NewPlace returns the identity of the shard.
func NewPlace(service string, s table.Shard) Place { return Place{service: service, shard: s} }

// Service returns the name of the service.
func (p Place) Service() string { return p.service }

// Shard returns the shard.
func (p Place) Shard() table.Shard { return p.shard }

// Trend holds the smoothed load of one shard and its last change of owner.
type Trend struct {
	requestRate   float64
	weightedRate  float64
	moved         clock.Millis
	previousOwner string
}

// NewTrend returns the statistics of a shard with its requests per second. weightedRate is the
// same rate with each request weighted by its cost relative to the mean request of the service.
func NewTrend(requestRate, weightedRate float64) Trend {
	return Trend{requestRate: requestRate, weightedRate: weightedRate}
}

// WithLoad returns the statistics with other rates.
func (s Trend) WithLoad(requestRate, weightedRate float64) Trend {
	s.requestRate, s.weightedRate = requestRate, weightedRate
	return s
}

// WithMove returns the statistics of a shard whose owner changed at the given time. previousOwner
// is the instance that owned it before.
func (s Trend) WithMove(at clock.Millis, previousOwner string) Trend {
	s.moved, s.previousOwner = at, previousOwner
	return s
}

// Requests returns the smoothed requests per second.
func (s Trend) Requests() float64 { return s.requestRate }

// Work returns the smoothed requests per second, weighted by cost.
func (s Trend) Work() float64 { return s.weightedRate }

// Moved returns when the leader last saw the owner of the shard change, 0 if never.
func (s Trend) Moved() clock.Millis { return s.moved }

// Former returns the instance that owned the shard before the last change, "" if none is known.
func (s Trend) Former() string { return s.previousOwner }
