package picker_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/query/picker"
	"verbenabank/core/state/table"
)

func members(zone string, first, n int) []table.Member {
	var list []table.Member
	for i := range n {
		list = append(list, table.NewMember(table.Incarnation(first+i), "", zone, "", "s", table.Serving{}))
	}
	return list
}

// TestPrefersOwnZoneThenSpillsOver puts 0, 1 or 9 requests in flight at each local target and none
// elsewhere. Only 9 make other zones cheaper by more than CrossZoneFactor.
func TestPrefersOwnZoneThenSpillsOver(t *testing.T) {
	is := is.New(t)
	local := members("local", 1, 2)
	all := append(members("remote", 3, 2), local...)
	random := rand.New(rand.NewPCG(1, 2))
	for inFlight, wantLocal := range map[int]bool{0: true, 1: true, 9: false} {
		picked := 0
		for range 1000 {
			m, ok := picker.Pick(local, all, func(m table.Member) picker.Stats {
				if m.Zone() == "local" {
					return picker.NewStats(inFlight, 1, 1)
				}
				return picker.NewStats(0, 1, 1)
			}, random.IntN)
			is.True(ok)
			if m.Zone() == "local" {
				picked++
			}
		}
		is.Equal(picked > 900, wantLocal)
	}
}

// TestMembersWithoutShareAreSkipped has one eligible member among 50, which sampling alone would
// often miss, and then none.
func TestMembersWithoutShareAreSkipped(t *testing.T) {
	is := is.New(t)
	all := members("z", 1, 50)
	random := rand.New(rand.NewPCG(1, 2))
	stats := func(m table.Member) picker.Stats {
		if m.Incarnation() == 17 {
			return picker.NewStats(99, 99, 0.01)
		}
		return picker.NewStats(0, 0, 0)
	}
	m, ok := picker.Pick(nil, all, stats, random.IntN)
	is.True(ok)
	is.Equal(m.Incarnation(), table.Incarnation(17))
	_, ok = picker.Pick(nil, all, func(table.Member) picker.Stats { return picker.NewStats(0, 0, 0) }, random.IntN)
	is.True(!ok)
}
