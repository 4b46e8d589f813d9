package sched

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"verbenabank/vload/state/plan"
)

func experiment(seed uint64) plan.Experiment {
	return plan.New(plan.WithSeed(seed), plan.WithRate(500, 10), plan.WithDuration(20000, 0),
		plan.WithKeys(plan.NewKeyDistribution(1000, 1, []plan.HotSet{plan.NewHotSet(10000, 2, 50)})),
		plan.WithMix(plan.NewRequestKind("catalogue", "GET", 3, 0, 10), plan.NewRequestKind("bookings", "POST", 1, 10, 10)))
}

func TestScheduleIsSeededAndFollowsDistributions(t *testing.T) {
	is := is.New(t)
	list := Requests(experiment(1))
	is.Equal(list, Requests(experiment(1)))
	is.True(list[0] != Requests(experiment(2))[0])
	is.True(math.Abs(float64(len(list))-10000) < 400) // four standard deviations

	counts := make(map[string]int)
	early, hot, gets := 0, 0, 0
	for _, r := range list {
		if r.Due().Seconds() < 10 {
			early++
			counts[r.Key()]++
			continue
		}
		if r.Key() == "hot-1-1" || r.Key() == "hot-1-2" {
			hot++
		}
		if r.Method() == "GET" {
			gets++
		}
	}
	late := float64(len(list) - early)
	is.True(counts["hot-1-1"] == 0)
	is.True(math.Abs(float64(hot)/late-0.5) < 0.04)
	is.True(math.Abs(float64(gets)/late-0.75) < 0.04)
	share := float64(counts["key-1"]) / float64(early)
	is.True(math.Abs(share-1/7.485) < 0.025) // 7.485 is the 1000th harmonic number
}
