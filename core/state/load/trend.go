package load

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// ShardRef names a shard of a service.
type ShardRef struct {
	service string
	shard   table.Shard
}

// NewShardRef returns the name of the shard.
func NewShardRef(service string, s table.Shard) ShardRef { return ShardRef{service: service, shard: s} }

// Service returns the service.
func (p ShardRef) Service() string { return p.service }

// Shard returns the shard.
func (p ShardRef) Shard() table.Shard { return p.shard }

// ShardStats is the load of one shard and the history of its ownership.
type ShardStats struct {
	requests float64
	work     float64
	moved    clock.Millis
	former   string
}

// NewShardStats returns the load of a shard with requests per second. Work is the
// same rate, with each request weighed by its cost beside the mean request of
// the service.
func NewShardStats(requests, work float64) ShardStats {
	return ShardStats{requests: requests, work: work}
}

// WithLoad returns the trend with other rates.
func (t ShardStats) WithLoad(requests, work float64) ShardStats {
	t.requests, t.work = requests, work
	return t
}

// WithMove returns the trend of a shard that got another owner at the instant,
// after the instance former.
func (t ShardStats) WithMove(at clock.Millis, former string) ShardStats {
	t.moved, t.former = at, former
	return t
}

// RequestRate returns the requests per second.
func (t ShardStats) RequestRate() float64 { return t.requests }

// WeightedRate returns the weighed requests per second.
func (t ShardStats) WeightedRate() float64 { return t.work }

// Moved returns when the shard last changed its owner, 0 if it was not seen to.
func (t ShardStats) Moved() clock.Millis { return t.moved }

// PreviousOwner returns the instance that owned the shard before, or "".
func (t ShardStats) PreviousOwner() string { return t.former }
