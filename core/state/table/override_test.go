package table_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

func TestSharesKeys(t *testing.T) {
	is := is.New(t)
	const shards, dedicated = 8, table.FirstOverride
	base := table.HashShard("k", shards)
	other := (base + 1) % shards
	added := table.Empty().With(1,
		table.NewRulesSet(rules.New(1, "", rules.NewService("s", rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), shards))))),
		table.NewOverrideSet("s", "k", dedicated))
	removed := added.With(2, table.NewOverrideRemoved("s", "k"))
	readded := removed.With(3, table.NewOverrideSet("s", "k", dedicated+1))
	for _, c := range []struct {
		table          *table.Table
		shard, earlier table.Shard
		shares         bool
	}{
		{added, dedicated, base, true},
		{added, dedicated, other, false},
		{added, dedicated, dedicated, false},
		{added, base, dedicated, false}, // the key is no longer in the range
		{added, base, other, false},
		{removed, base, dedicated, true}, // the table does not record which key the shard had
		{readded, dedicated + 1, dedicated, true},
		{readded, dedicated + 1, base, true},
		{readded, base, dedicated + 1, false},
	} {
		is.Equal(c.table.MayShareKeys("s", c.shard, c.earlier), c.shares)
	}
}
