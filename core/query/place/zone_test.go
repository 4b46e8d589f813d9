package place_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/query/place"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// TestShardsMoveOffADrainedZone has a zone with one of three owners. It guards against a member of a drained zone that
// keeps or gets shards, and against shards that return to it faster than to one that joins.
func TestShardsMoveOffADrainedZone(t *testing.T) {
	is := is.New(t)
	const shards, now = 12, 60 * clock.Second
	s := rules.NewService("s", rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), shards)))
	changes := []table.Change{table.NewRulesSet(rules.New(1, "d", s))}
	joined := map[table.Incarnation]clock.Millis{}
	for n := range 3 {
		i := table.Incarnation(n + 1)
		changes = append(changes, table.NewMemberSet(table.NewMember(i, fmt.Sprint(i), fmt.Sprint("z", i), "", "s", table.Serving{})))
		joined[i] = 1
	}
	for n := range shards {
		changes = append(changes, table.NewOwnershipSet("s", table.Shard(n), table.NewOwned(table.Incarnation(n%3+1), 1)))
	}
	t0 := table.Empty().With(1, changes...)
	plan := func(t *table.Table) []logcmd.Command {
		return place.Plan(place.CostBased{}, t, load.NewView(load.WithJoined(joined)), now)
	}
	is.Equal(len(plan(t0)), 0)
	t1 := t0.With(2, table.NewZoneDrainSet("z3", true))
	moved := 0
	for _, c := range plan(t1) {
		m, ok := c.(logcmd.Move)
		is.True(ok)
		is.True(m.Successor() != 3)
		moved++
	}
	is.Equal(moved, shards/3)
	t2 := t1.With(3, table.NewOwnershipSet("s", 0, table.NewVacant(1)))
	for _, c := range plan(t2) {
		if g, ok := c.(logcmd.Grant); ok {
			is.True(g.Owner() != 3)
		}
	}
}
