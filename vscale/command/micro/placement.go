package micro

import (
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/query/place"
	"verbenabank/core/state/load"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
	"verbenabank/vscale/state/figure"
)

// MeasurePlacement measures one run of the leader's placement planner for a table in
// which all shards have owners and no load is known, so that nothing is to be moved.
func MeasurePlacement(shards, members int) []figure.Point {
	kind := rules.NewKeyed(rules.NewPathSegment(2), shards)
	r := rules.New(1, "", rules.NewService(service, rules.WithKind(kind)))
	changes := append([]table.Change{table.NewRulesSet(r)}, memberChanges(members)...)
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
