package flight

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// Load is the load of one shard since the previous call of TakeLoads.
type Load struct {
	service  string
	shard    table.Shard
	requests uint64
	busyTime clock.Millis
}

// Service returns the name of the service that the shard belongs to.
func (l Load) Service() string { return l.service }

// Shard returns the number of the shard.
func (l Load) Shard() table.Shard { return l.shard }

// Requests returns the number of requests that entered in the period.
func (l Load) Requests() uint64 { return l.requests }

// BusyTime returns the sum of the times in flight of the requests that left in the period.
func (l Load) BusyTime() clock.Millis { return l.busyTime }

// TakeLoads returns the loads of the shards that had any, ordered by service and shard, and
// resets them. It also drops the state of idle shards.
func (t *Tracker) TakeLoads() []Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Load
	for k, st := range t.shards {
		if st.requests > 0 || st.busyTime > 0 {
			list = append(list, Load{service: k.service, shard: k.shard, requests: st.requests, busyTime: st.busyTime})
		}
		st.requests, st.busyTime = 0, 0
		if len(st.inFlight) == 0 && len(st.drainWaiters) == 0 && len(st.quiesceWaiters) == 0 {
			delete(t.shards, k)
		}
	}
	slices.SortFunc(list, func(a, b Load) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.shard, b.shard))
	})
	return list
}
