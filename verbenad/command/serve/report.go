package serve

import (
	"context"
	"time"

	"verbenabank/core/command/agent"
	"verbenabank/core/state/load"
	"verbenabank/verbenad/command/ctrl"
	"verbenabank/verbenad/command/owner"
)

// Measuring of traffic for the leader.
const (
	measureEvery = 500 * time.Millisecond
	keyedEvery   = 2 // measurements
	hotKeys      = 8
)

// measure hands the control goroutine what traffic counted: keys that are numbers at each
// measurement, hash ranges and hot keys at every second one.
func measure(ctx context.Context, o *owner.Owner, l *ctrl.Loop) {
	t := time.NewTicker(measureEvery)
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r := load.NewReport(nil, nil)
			if n%keyedEvery == 0 {
				r = taken(o)
			}
			if r = r.WithCells(o.TakeCells()); !r.Empty() {
				l.Post(ctrl.NewAgentEvent(agent.NewLoadMeasured(r)))
			}
		}
	}
}

// taken takes the counts of traffic since the last time.
func taken(o *owner.Owner) load.Report {
	var shards []load.Shard
	for _, s := range o.InFlight().TakeLoads() {
		shards = append(shards, load.NewShard(s.Shard(), s.Requests(), uint64(s.BusyTime())))
	}
	var keys []load.Key
	for _, k := range o.TakeHotKeys(hotKeys) {
		keys = append(keys, load.NewKey(k.Key(), k.Requests()))
	}
	return load.NewReport(shards, keys)
}
