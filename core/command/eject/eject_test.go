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
	tr := eject.New()
	tr.SetMembers(members, 0)
	for range 100 {
		for _, m := range members {
			tr.Record(m.Incarnation(), eject.Failed{}, 1)
		}
	}
	out := 0
	for _, m := range members {
		if tr.View(m, 0, 1).Share() == 0 {
			out++
		}
	}
	is.Equal(out, 2)
}

func TestEjectedTargetIsReadmittedByProbes(t *testing.T) {
	is := is.New(t)
	members := fleet(3)
	tr := eject.New()
	tr.SetMembers(members, 0)
	for range eject.ConsecutiveFailures {
		tr.Record(1, eject.Failed{}, 10)
	}
	is.Equal(tr.View(members[0], 0, 10+eject.BaseEjectionTime-1).Share(), 0.0)
	now := 10 + eject.BaseEjectionTime
	is.True(tr.View(members[0], 0, now).Share() < 0.1)
	is.True(tr.View(members[0], 0, now+eject.RecoveryTime/2).Share() == 0.5)
	tr.Record(1, eject.Failed{}, now+eject.RecoveryTime/2)
	is.Equal(tr.View(members[0], 0, now+eject.RecoveryTime/2+2*eject.BaseEjectionTime-1).Share(), 0.0) // the second ejection lasts longer
}

// balance sends one request per millisecond to four targets, records the outcomes that sample returns,
// and returns how many requests each target received.
func balance(t *testing.T, until clock.Millis, sample func(i table.Incarnation, now clock.Millis, draw func(n int) int) eject.Sample) map[table.Incarnation]int {
	t.Helper()
	members := fleet(4)
	tr := eject.New()
	tr.SetMembers(members, 0)
	random := rand.New(rand.NewPCG(1, 2))
	received := map[table.Incarnation]int{}
	for now := clock.Millis(0); now < until; now++ {
		view := func(m table.Member) picker.Stats { return tr.View(m, 0, now) }
		m, ok := picker.Pick(members, members, view, random.IntN)
		if !ok {
			t.Fatalf("no target was chosen at %d ms", now)
		}
		received[m.Incarnation()]++
		tr.Record(m.Incarnation(), sample(m.Incarnation(), now, random.IntN), now)
	}
	return received
}

func TestSlowTargetLosesItsTraffic(t *testing.T) {
	received := balance(t, 3000, func(i table.Incarnation, now clock.Millis, _ func(n int) int) eject.Sample {
		if i == 1 && now > 500 {
			return eject.NewSuccess(400)
		}
		return eject.NewSuccess(5)
	})
	is.New(t).True(received[1] < 300) // of 3000, about 125 of them before it became slow
}

// TestTargetThatFailsFastAttractsNoTraffic has a target whose health check passes while it answers half
// of its requests with status 500 at once: by latency alone it would look like the best one.
func TestTargetThatFailsFastAttractsNoTraffic(t *testing.T) {
	is := is.New(t)
	received := balance(t, 4000, func(i table.Incarnation, _ clock.Millis, draw func(n int) int) eject.Sample {
		if i == 1 && draw(2) == 0 {
			return eject.ErrorResponse{}
		}
		return eject.NewSuccess(20)
	})
	is.True(received[1] < 4000/4/2) // less than half of an equal share
	is.True(received[1] > 0)        // and enough to notice its recovery
}

// TestTargetThatFailsFromTheStartAttractsNoTraffic has a target without any successful response, so
// that its latency is not known.
func TestTargetThatFailsFromTheStartAttractsNoTraffic(t *testing.T) {
	is := is.New(t)
	received := balance(t, 4000, func(i table.Incarnation, _ clock.Millis, _ func(n int) int) eject.Sample {
		if i == 1 {
			return eject.ErrorResponse{}
		}
		return eject.NewSuccess(200)
	})
	is.True(received[1] < 4000/4/2)
}

func TestRecoveredTargetReceivesTraffic(t *testing.T) {
	is := is.New(t)
	const recovered = 2000
	late := 0
	balance(t, recovered+2*eject.RecoveryTime, func(i table.Incarnation, now clock.Millis, _ func(n int) int) eject.Sample {
		if i == 1 && now < recovered {
			return eject.ErrorResponse{}
		}
		if i == 1 && now > recovered+eject.RecoveryTime {
			late++
		}
		return eject.NewSuccess(200)
	})
	is.True(late > int(eject.RecoveryTime)/4/2) // at least half of an equal share
}

// TestRetryAfterOfYearsIsBounded guards against a target that asks for no requests for years, and would then never again
// get its share.
func TestRetryAfterOfYearsIsBounded(t *testing.T) {
	is := is.New(t)
	members := fleet(1)
	m, k := members[0], eject.New()
	k.SetMembers(members, 0)
	k.Record(m.Incarnation(), eject.NewRejected(1<<60), 1)
	is.True(k.View(m, 0, 2).Share() < 1)
	is.Equal(k.View(m, 0, 1+eject.MaxEjectionTime).Share(), 1.0)
}
