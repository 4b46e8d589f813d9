package serve

import (
	"context"
	"time"

	"verbenabank/core/command/agent"
	"verbenabank/core/state/load"
	"verbenabank/verbenad/command/ctrl"
	"verbenabank/verbenad/command/owner"
)

// Intervals and sizes of load reports for the leader of the control group.
const (
	measureInterval = 500 * time.Millisecond
	shardsEvery     = 2 // each second measurement reports shards and hot keys too
	maxHotKeys      = 8
)

// reportLoad passes the load counted by the traffic goroutines to the control goroutine until ctx ends:
// the cells of numeric keys at each measurement, shards and hot keys at every second one.
func reportLoad(ctx context.Context, o *owner.Owner, l *ctrl.Loop) {
	t := time.NewTicker(measureInterval)
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r := load.NewReport(nil, nil)
			if n%shardsEvery == 0 {
				r = takeReport(o)
			}
			if r = r.WithCells(o.TakeCells()); !r.Empty() {
				l.Post(ctrl.NewAgentEvent(agent.NewLoadMeasured(r)))
			}
		}
	}
}

// takeReport returns the load of shards and hot keys since the previous call.
func takeReport(o *owner.Owner) load.Report {
	var shards []load.Shard
	for _, s := range o.InFlight().TakeLoads() {
		shards = append(shards, load.NewShard(s.Shard(), s.Requests(), uint64(s.BusyTime())))
	}
	var keys []load.Key
	for _, k := range o.TakeHotKeys(maxHotKeys) {
		keys = append(keys, load.NewKey(k.Key(), k.Requests()))
	}
	return load.NewReport(shards, keys)
}
