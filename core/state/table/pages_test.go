package table_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenabank/core/state/table"
)

// TestTablesStayAsTheyAre compares tables with plain maps, also after later
// tables were derived from them.
func TestTablesStayAsTheyAre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		shards := rapid.SampledFrom([]table.Shard{0, 1, 255, 256, 700, table.FirstOverride, table.FirstOverride + 1})
		tables := []*table.Table{table.Empty()}
		plain := []map[table.Shard]table.Ownership{{}}
		for v := range rapid.IntRange(1, 20).Draw(t, "versions") {
			next := map[table.Shard]table.Ownership{}
			for s, h := range plain[v] {
				next[s] = h
			}
			var changes []table.Change
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				s := shards.Draw(t, "shard")
				next[s] = table.NewOwned(table.Incarnation(v+1), table.Epoch(v))
				changes = append(changes, table.NewOwnershipSet("a", s, next[s]))
			}
			tables, plain = append(tables, tables[v].With(uint64(v+1), changes...)), append(plain, next)
		}
		for v, b := range tables {
			is.Equal(len(b.Shards("a")), len(plain[v]))
			for s, h := range plain[v] {
				is.Equal(b.Ownership("a", s), h)
			}
			is.Equal(table.Empty().With(1, b.Changes()...).Changes(), b.Changes())
		}
	})
}
