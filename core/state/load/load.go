// Package load holds the load that daemons measure at their targets, and the view of the
// leader that is derived from these reports.
package load

import "verbenabank/core/state/table"

// Report is what a daemon counted at its target since its last report.
type Report struct {
	shards      []Shard
	hotKeys     []Key
	cells       []Cell
	targetStats TargetStats
}

// NewReport returns a report with the counts of shards and of the hottest keys.
func NewReport(shards []Shard, hotKeys []Key) Report {
	return Report{shards: shards, hotKeys: hotKeys}
}

// Shards returns the counts of the shards.
func (r Report) Shards() []Shard { return r.shards }

// HotKeys returns the counts of the hottest keys.
func (r Report) HotKeys() []Key { return r.hotKeys }

// Empty reports whether there are no counts and no statistics of the target.
func (r Report) Empty() bool {
	return len(r.shards) == 0 && len(r.hotKeys) == 0 && len(r.cells) == 0 && r.targetStats.slots == 0
}

// Shard counts the requests of one shard.
type Shard struct {
	shard    table.Shard
	requests uint64
	busy     uint64
}

// NewShard returns the number of requests for s, and the sum of their service times in
// milliseconds.
func NewShard(s table.Shard, requests, busy uint64) Shard {
	return Shard{shard: s, requests: requests, busy: busy}
}

// Shard returns the shard.
func (s Shard) Shard() table.Shard { return s.shard }

// Requests returns the number of requests.
func (s Shard) Requests() uint64 { return s.requests }

// Busy returns the sum of the service times of the requests, in milliseconds.
func (s Shard) Busy() uint64 { return s.busy }

// Key counts the requests of one key.
type Key struct {
	key      string
	requests uint64
}

// NewKey returns the number of requests for key.
func NewKey(key string, requests uint64) Key { return Key{key: key, requests: requests} }

// Key returns the key.
func (k Key) Key() string { return k.key }

// Requests returns the number of requests.
func (k Key) Requests() uint64 { return k.requests }
