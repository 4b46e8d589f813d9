package place_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/query/place"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// TestShardsMoveOffADrainedZone has an owner of two shards in each of two zones. One shard is vacant.
func TestShardsMoveOffADrainedZone(t *testing.T) {
	is := is.New(t)
	s := rules.NewService("s", rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), 5)))
	changes := []table.Change{table.NewRulesSet(rules.New(1, "d", s)), table.NewZoneDrainSet("b", true)}
	for n, zone := range []string{"a", "b"} {
		i := table.Incarnation(n + 1)
		changes = append(changes, table.NewMemberSet(table.NewMember(i, zone, zone, "", "s", table.Serving{})),
			table.NewOwnershipSet("s", table.Shard(n), table.NewOwned(i, 1)), table.NewOwnershipSet("s", table.Shard(n+2), table.NewOwned(i, 1)))
	}
	plan := place.Plan(place.CostBased{}, table.Empty().With(1, changes...), load.NewView(), 60_000)
	is.Equal(plan, []logcmd.Command{logcmd.NewMove("s", 1, 1, 1), logcmd.NewMove("s", 3, 1, 1), logcmd.NewGrant("s", 4, 0, 1)})
}
