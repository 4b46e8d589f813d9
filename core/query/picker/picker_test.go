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

// TestShareIsThatOfChoices has one target with a share of 0.2, one of 0, and a slow one, which a share must not hide.
func TestShareIsThatOfChoices(t *testing.T) {
	is := is.New(t)
	all := members("z", 1, 10)
	random := rand.New(rand.NewPCG(1, 2))
	prospect := func(m *table.Member) picker.Prospect {
		switch m.Incarnation() {
		case 1:
			return picker.NewProspect(0, 1, true).WithHealth(0, 0.2)
		case 2:
			return picker.Prospect{}
		case 3:
			return picker.NewProspect(0, 10, true).WithHealth(0.8, 1)
		}
		return picker.NewProspect(0, 10, true)
	}
	counts := map[table.Incarnation]int{}
	for range 10_000 {
		m, ok := picker.PickEarliest(nil, all, all, prospect, random.IntN)
		is.True(ok)
		counts[m.Incarnation()]++
	}
	t.Logf("share 0.2: %d, ejected: %d, failing: %d of 10000", counts[1], counts[2], counts[3])
	is.True(counts[1] > 1000 && counts[1] < 2500)
	is.Equal(counts[2]+counts[3], 0)
	_, ok := picker.PickEarliest(nil, nil, all[1:2], prospect, random.IntN)
	is.True(!ok)
	_, ok = picker.PickEarliest(nil, nil, nil, prospect, random.IntN)
	is.True(!ok)
}

// TestLoadDecidesIfAllAreBackedOff has all targets at the share after a rejection, and one without a queue.
func TestLoadDecidesIfAllAreBackedOff(t *testing.T) {
	is := is.New(t)
	all, random, idle := members("z", 1, 6), rand.New(rand.NewPCG(1, 2)), 0
	for range 1000 {
		m, ok := picker.PickEarliest(nil, all, all, func(m *table.Member) picker.Prospect {
			if m.Incarnation() == 4 {
				return picker.NewProspect(0, 10, true).WithHealth(0, 0.01)
			}
			return picker.NewProspect(500, 10, true).WithHealth(0, 0.01)
		}, random.IntN)
		is.True(ok)
		if m.Incarnation() == 4 {
			idle++
		}
	}
	is.True(idle > 700)
}
