// Package load holds what a daemon measured about its own target: requests of
// each shard and of the hottest keys.
package load

import "verbenabank/core/state/table"

// Report counts requests over some time.
type Report struct {
	shards []Shard
	keys   []Key
	cells  []Cell
	pace   TargetStats
}

// NewReport returns a report of shards and of the hottest keys.
func NewReport(shards []Shard, keys []Key) Report { return Report{shards: shards, keys: keys} }

// Shards returns the counts of the shards.
func (r Report) Shards() []Shard { return r.shards }

// HotKeys returns the counts of the hottest keys.
func (r Report) HotKeys() []Key { return r.keys }

// Empty reports whether nothing was counted.
func (r Report) Empty() bool {
	return len(r.shards) == 0 && len(r.keys) == 0 && len(r.cells) == 0 && r.pace.slots == 0
}

// Shard counts the requests of one shard.
type Shard struct {
	shard    table.Shard
	requests uint64
	busy     uint64
}

// NewShard returns the count of requests of s, which kept the target busy for
// the given milliseconds in sum.
func NewShard(s table.Shard, requests, busy uint64) Shard {
	return Shard{shard: s, requests: requests, busy: busy}
}

// Shard returns the shard.
func (s Shard) Shard() table.Shard { return s.shard }

// Requests returns the count of requests.
func (s Shard) Requests() uint64 { return s.requests }

// Busy returns the sum of the requests' times at the target in milliseconds.
func (s Shard) Busy() uint64 { return s.busy }

// Key counts the requests of one key.
type Key struct {
	key      string
	requests uint64
}

// NewKey returns the count of requests of key.
func NewKey(key string, requests uint64) Key { return Key{key: key, requests: requests} }

// Key returns the key.
func (k Key) Key() string { return k.key }

// Requests returns the count of requests.
func (k Key) Requests() uint64 { return k.requests }
