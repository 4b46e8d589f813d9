package route_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/query/route"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// newTable returns a table with a pooled and an ordered service, and a member of each in the zones a and b. The ordered
// one in a owns key 5.
func newTable() *table.Table {
	member := func(i table.Incarnation, zone, service string) table.Change {
		return table.NewMemberSet(table.NewMember(i, "i", zone, "", service, table.Serving{}))
	}
	return table.Empty().With(1,
		table.NewRulesSet(rules.New(1, "d", rules.NewService("p", rules.WithKind(rules.Pooled{})),
			rules.NewService("o", rules.WithKind(rules.NewOrdered(rules.NewHeader("Key"), 10))))),
		member(1, "a", "p"), member(2, "b", "p"), member(3, "a", "o"), member(4, "b", "o"),
		table.NewSpanSet("o", table.NewSpan(5, 5, table.NewOwned(3, 1))))
}

func candidates(x *route.Index) []table.Incarnation {
	var list []table.Incarnation
	if p, ok := x.Decide(route.ResolvedAttributes("p", "")).(route.Pooled); ok {
		for _, m := range p.Candidates() {
			list = append(list, m.Incarnation())
		}
	}
	return list
}

func reason(d route.Decision) result.Reason {
	if r, ok := d.(route.Refuse); ok {
		return r.Reason()
	}
	return ""
}

// TestMembersOfDrainedZonesAreNoCandidates derives the index of each table from that of the one before.
func TestMembersOfDrainedZonesAreNoCandidates(t *testing.T) {
	is := is.New(t)
	t0 := newTable()
	x := route.NewIndex(t0)
	is.Equal(candidates(x), []table.Incarnation{1, 2})
	t1 := t0.With(2, table.NewZoneDrainSet("a", true))
	x = x.WithTable(t1)
	is.Equal(candidates(x), []table.Incarnation{2})
	t2 := t1.With(3, table.NewZoneDrainSet("b", true))
	x = x.WithTable(t2)
	is.Equal(reason(x.Decide(route.ResolvedAttributes("p", ""))), result.ZoneDrained)
	t3 := t2.With(4, table.NewZoneDrainSet("a", false))
	x = x.WithTable(t3)
	is.Equal(candidates(x), []table.Incarnation{1})
}

// TestKeysOfDrainedZonesStayWithTheirOwner until another one can take over. Without another one they are refused at once.
func TestKeysOfDrainedZonesStayWithTheirOwner(t *testing.T) {
	is := is.New(t)
	t1 := newTable().With(2, table.NewZoneDrainSet("a", true))
	k, ok := route.NewIndex(t1).Decide(route.ResolvedAttributes("o", "5")).(route.Keyed)
	is.True(ok)
	is.Equal(k.Owner().Incarnation(), table.Incarnation(3))
	t2 := t1.With(3, table.NewZoneDrainSet("b", true))
	is.Equal(reason(route.NewIndex(t2).Decide(route.ResolvedAttributes("o", "5"))), result.ZoneDrained)
}
