package eject_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/eject"
	"verbenabank/core/query/picker"
	"verbenabank/core/state/table"
)

func fleet(n int) []table.Member {
	var list []table.Member
	for i := range n {
		list = append(list, table.NewMember(table.Incarnation(i+1), "", "z", "", "s", table.Serving{}))
	}
	return list
}

func TestAtMostAThirdIsEjected(t *testing.T) {
	is := is.New(t)
	members := fleet(6)
	k := eject.New()
	k.SetMembers(members, 0)
	for range 100 {
		for _, m := range members {
			k.Record(m.Incarnation(), eject.Failed{}, 1)
		}
	}
	out := 0
	for _, m := range members {
		if k.View(m, 0, 1).Share() == 0 {
			out++
		}
	}
	is.Equal(out, 2)
}

func TestEjectedTargetComesBackByProbes(t *testing.T) {
	is := is.New(t)
	members := fleet(3)
	k := eject.New()
	k.SetMembers(members, 0)
	for range eject.Failures {
		k.Record(1, eject.Failed{}, 10)
	}
	is.Equal(k.View(members[0], 0, 10+eject.Away-1).Share(), 0.0)
	now := 10 + eject.Away
	is.True(k.View(members[0], 0, now).Share() < 0.1)
	is.True(k.View(members[0], 0, now+eject.Return/2).Share() == 0.5)
	k.Record(1, eject.Failed{}, now+eject.Return/2)
	is.Equal(k.View(members[0], 0, now+eject.Return/2+2*eject.Away-1).Share(), 0.0) // longer than before
}

// spread sends a request a millisecond to four targets, each of which notes how it went, and returns how
// many each got.
func spread(t *testing.T, until clock.Millis, sample func(i table.Incarnation, now clock.Millis, draw func(n int) int) eject.Sample) map[table.Incarnation]int {
	t.Helper()
	members := fleet(4)
	k := eject.New()
	k.SetMembers(members, 0)
	random := rand.New(rand.NewPCG(1, 2))
	taken := map[table.Incarnation]int{}
	for now := clock.Millis(0); now < until; now++ {
		view := func(m table.Member) picker.Stats { return k.View(m, 0, now) }
		m, ok := picker.Pick(members, members, view, random.IntN)
		if !ok {
			t.Fatalf("no target is chosen at %d", now)
		}
		taken[m.Incarnation()]++
		k.Record(m.Incarnation(), sample(m.Incarnation(), now, random.IntN), now)
	}
	return taken
}

func TestSlowTargetIsLeftAndLoadGoesElsewhere(t *testing.T) {
	taken := spread(t, 3000, func(i table.Incarnation, now clock.Millis, _ func(n int) int) eject.Sample {
		if i == 1 && now > 500 {
			return eject.NewSuccess(400)
		}
		return eject.NewSuccess(5)
	})
	is.New(t).True(taken[1] < 300) // of 3000, 125 of them before it became slow
}

// TestTargetThatFailsFastDrawsNoMoreWork is a target whose health check is good while it answers
// half of its requests with 500 at once: by its latency alone it looks the best.
func TestTargetThatFailsFastDrawsNoMoreWork(t *testing.T) {
	is := is.New(t)
	taken := spread(t, 4000, func(i table.Incarnation, _ clock.Millis, draw func(n int) int) eject.Sample {
		if i == 1 && draw(2) == 0 {
			return eject.ErrorResponse{}
		}
		return eject.NewSuccess(20)
	})
	is.True(taken[1] < 4000/4/2) // less than half of an equal part
	is.True(taken[1] > 0)        // and enough to see that it is well again
}

// TestTargetThatFailsFromTheStartDrawsNoMoreWork is one that never answered well, so that nothing is
// known of how long it takes.
func TestTargetThatFailsFromTheStartDrawsNoMoreWork(t *testing.T) {
	is := is.New(t)
	taken := spread(t, 4000, func(i table.Incarnation, _ clock.Millis, _ func(n int) int) eject.Sample {
		if i == 1 {
			return eject.ErrorResponse{}
		}
		return eject.NewSuccess(200)
	})
	is.True(taken[1] < 4000/4/2)
}

func TestTargetThatIsWellAgainGetsWork(t *testing.T) {
	is := is.New(t)
	const healed = 2000
	late := 0
	spread(t, healed+2*eject.Return, func(i table.Incarnation, now clock.Millis, _ func(n int) int) eject.Sample {
		if i == 1 && now < healed {
			return eject.ErrorResponse{}
		}
		if i == 1 && now > healed+eject.Return {
			late++
		}
		return eject.NewSuccess(200)
	})
	is.True(late > int(eject.Return)/4/2) // half of an equal part at least
}
