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

func TestNearFirstThenSpillOver(t *testing.T) {
	is := is.New(t)
	near := members("near", 1, 2)
	all := append(members("far", 3, 2), near...)
	random := rand.New(rand.NewPCG(1, 2))
	for busy, want := range map[int]bool{0: true, 1: true, 9: false} {
		stayed := 0
		for range 1000 {
			m, ok := picker.Pick(near, all, func(m table.Member) picker.Stats {
				if m.Zone() == "near" {
					return picker.NewStats(busy, 1, 1)
				}
				return picker.NewStats(0, 1, 1)
			}, random.IntN)
			is.True(ok)
			if m.Zone() == "near" {
				stayed++
			}
		}
		is.Equal(stayed > 900, want)
	}
}

func TestMembersWithoutShareAreSkipped(t *testing.T) {
	is := is.New(t)
	all := members("z", 1, 50)
	random := rand.New(rand.NewPCG(1, 2))
	view := func(m table.Member) picker.Stats {
		if m.Incarnation() == 17 {
			return picker.NewStats(99, 99, 0.01)
		}
		return picker.NewStats(0, 0, 0)
	}
	m, ok := picker.Pick(nil, all, view, random.IntN)
	is.True(ok)
	is.Equal(m.Incarnation(), table.Incarnation(17))
	_, ok = picker.Pick(nil, all, func(table.Member) picker.Stats { return picker.NewStats(0, 0, 0) }, random.IntN)
	is.True(!ok)
}
