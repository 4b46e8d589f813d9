package flight

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// Load is what a shard has taken since the last Take.
type Load struct {
	service  string
	shard    table.Shard
	requests uint64
	busy     clock.Millis
}

// Service returns the service of the shard.
func (l Load) Service() string { return l.service }

// Shard returns the shard.
func (l Load) Shard() table.Shard { return l.shard }

// Requests returns how many requests entered.
func (l Load) Requests() uint64 { return l.requests }

// BusyTime returns the sum of the times that requests which left had spent here.
func (l Load) BusyTime() clock.Millis { return l.busy }

// TakeLoads returns the loads of all shards that had any, in order, and starts anew.
func (f *Tracker) TakeLoads() []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Load
	for p, t := range f.places {
		if t.requests > 0 || t.busy > 0 {
			list = append(list, Load{service: p.service, shard: p.shard, requests: t.requests, busy: t.busy})
		}
		t.requests, t.busy = 0, 0
		if len(t.inside) == 0 && len(t.waiters) == 0 && len(t.quiet) == 0 {
			delete(f.places, p)
		}
	}
	slices.SortFunc(list, func(a, b Load) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.shard, b.shard))
	})
	return list
}
