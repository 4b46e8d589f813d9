package load

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// ShardRef identifies a shard by its service and number.
type ShardRef struct {
	service string
	shard   table.Shard
}

// NewShardRef returns the identity of the shard.
func NewShardRef(service string, s table.Shard) ShardRef { return ShardRef{service: service, shard: s} }

// Service returns the name of the service.
func (r ShardRef) Service() string { return r.service }

// Shard returns the shard.
func (r ShardRef) Shard() table.Shard { return r.shard }

// ShardStats holds the smoothed load of one shard and its last change of owner.
type ShardStats struct {
	requestRate   float64
	weightedRate  float64
	moved         clock.Millis
	previousOwner string
}

// NewShardStats returns the statistics of a shard with its requests per second. weightedRate is the
// same rate with each request weighted by its cost relative to the mean request of the service.
func NewShardStats(requestRate, weightedRate float64) ShardStats {
	return ShardStats{requestRate: requestRate, weightedRate: weightedRate}
}

// WithLoad returns the statistics with other rates.
func (s ShardStats) WithLoad(requestRate, weightedRate float64) ShardStats {
	s.requestRate, s.weightedRate = requestRate, weightedRate
	return s
}

// WithMove returns the statistics of a shard whose owner changed at the given time. previousOwner
// is the instance that owned it before.
func (s ShardStats) WithMove(at clock.Millis, previousOwner string) ShardStats {
	s.moved, s.previousOwner = at, previousOwner
	return s
}

// RequestRate returns the smoothed requests per second.
func (s ShardStats) RequestRate() float64 { return s.requestRate }

// WeightedRate returns the smoothed requests per second, weighted by cost.
func (s ShardStats) WeightedRate() float64 { return s.weightedRate }

// Moved returns when the leader last saw the owner of the shard change, 0 if never.
func (s ShardStats) Moved() clock.Millis { return s.moved }

// PreviousOwner returns the instance that owned the shard before the last change, "" if none is known.
func (s ShardStats) PreviousOwner() string { return s.previousOwner }
