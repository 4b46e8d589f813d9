package size

import (
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/query/place"
	"verbenabank/core/state/load"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
	"verbenabank/vscale/state/figure"
)

// Plan measures one look of the leader at the placement of so many shards on so
// many members, with nothing to do.
func Plan(shards, members int) []figure.Point {
	kind := rules.NewKeyed(rules.NewPathSegment(2), shards)
	r := rules.New(1, "", rules.NewService(service, rules.WithKind(kind)))
	changes := append([]table.Change{table.NewRulesSet(r)}, daemons(members)...)
	for i := range shards {
		owner := table.Incarnation(1<<63 + uint64(i%members))
		changes = append(changes, table.NewOwnershipSet(service, table.Shard(i), table.NewOwned(owner, 7)))
	}
	t := table.Empty().With(1, changes...)
	view := load.NewView()
	begin := time.Now()
	place.Plan(place.CostBased{}, t, view, clock.Minute)
	return []figure.Point{
		figure.NewPoint("plan: ms of one look at the placement, by shards x members", float64(shards)*float64(members), millis(time.Since(begin))),
	}
}
