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
	measureEvery = time.Second
	hotKeys      = 8
)

// measure hands the control goroutine what traffic counted, once a second.
func measure(ctx context.Context, o *owner.Owner, l *ctrl.Loop) {
	t := time.NewTicker(measureEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if r := taken(o); !r.Empty() {
				l.Post(ctrl.NewLocal(agent.NewMeasured(r)))
			}
		}
	}
}

// taken takes the counts of traffic since the last time.
func taken(o *owner.Owner) load.Report {
	var shards []load.Shard
	for _, s := range o.Flight().Take() {
		shards = append(shards, load.NewShard(s.Shard(), s.Requests(), uint64(s.Busy())))
	}
	var keys []load.Key
	for _, k := range o.TakeHot(hotKeys) {
		keys = append(keys, load.NewKey(k.Key(), k.Requests()))
	}
	return load.NewReport(shards, keys)
}
