package table_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

func TestSharesKeys(t *testing.T) {
	is := is.New(t)
	const shards, alone = 8, table.FirstOverride
	base := table.HashShard("k", shards)
	other := (base + 1) % shards
	placed := table.Empty().With(1,
		table.NewRulesSet(rules.New(1, "", rules.NewService("s", rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), shards))))),
		table.NewOverrideSet("s", "k", alone))
	removed := placed.With(2, table.NewOverrideRemoved("s", "k"))
	again := removed.With(3, table.NewOverrideSet("s", "k", alone+1))
	for _, c := range []struct {
		table          *table.Table
		shard, earlier table.Shard
		shares         bool
	}{
		{placed, alone, base, true},
		{placed, alone, other, false},
		{placed, alone, alone, false},
		{placed, base, alone, false}, // the key is no more in the range
		{placed, base, other, false},
		{removed, base, alone, true}, // which key it had is not known any more
		{again, alone + 1, alone, true},
		{again, alone + 1, base, true},
		{again, base, alone + 1, false},
	} {
		is.Equal(c.table.MayShareKeys("s", c.shard, c.earlier), c.shares)
	}
}
