package ranges_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/stats"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// playCapacity plays 24 targets of different speed at 0.7 of their capacity, with popular neighboring keys. A report has
// the mean of a few requests, which is off by a quarter. After 45 s one target becomes three times slower. It returns how
// many keys changed hands from 15 s to 45 s, and for how long the slow target was overloaded.
func playCapacity(seed uint64, opts ...stats.Option) (moved int, overloaded clock.Millis) {
	const members, capacity, interval, slow = 24, 50.0, 500, table.Incarnation(3)
	r, co, cl := rand.New(rand.NewPCG(seed, 1)), stats.New(0, opts...), newCluster(members)
	speeds, sum := []float64{0.5, 1, 1, 1.5}, 0.0
	for _, m := range cl.table.Members() {
		co.MemberJoined(m, 0)
	}
	rates := make([]float64, len(cl.rates))
	for c := range rates {
		rates[c] = math.Pow(float64(c+1), -0.6)
		sum += rates[c]
	}
	for at := clock.Millis(interval); at < 75*clock.Second; at += interval {
		for _, m := range cl.table.Members() {
			speed := speeds[m.Incarnation()%4]
			if m.Incarnation() == slow && at > 45*clock.Second {
				speed /= 3
			}
			var owned []table.Span
			var cells []load.Cell
			rate := 0.0
			for _, s := range cl.table.Spans(service) {
				if table.ServingMember(s.Ownership()) != m.Incarnation() {
					continue
				}
				owned = append(owned, s)
				for c := load.CellOf(s.First()); c <= load.CellOf(s.Last()); c++ {
					x := rates[c] / sum * 0.7 * members * capacity
					rate += x
					cells = append(cells, load.NewCell(c, uint64(x*interval/1000+r.Float64())))
				}
			}
			if m.Incarnation() == slow && at > 45*clock.Second && rate > capacity*speed {
				overloaded += interval
			}
			stat := load.NewTargetStats(5, 5000/capacity/speed*math.Exp(0.25*r.NormFloat64()), 0)
			co.RecordCells(m.Incarnation(), service, owned, load.NewReport(nil, nil).WithCells(cells, stat), at)
		}
		cl.rates, cl.targetStats = co.View().CellRates(service), map[table.Incarnation]load.TargetStats{}
		for _, m := range cl.table.Members() {
			cl.targetStats[m.Incarnation()] = co.View().TargetStats(m.Incarnation())
		}
		before := cl.table
		cl.apply(cl.plan())
		for k := table.Key(0); k < keyCount && at > 15*clock.Second && at <= 45*clock.Second; k++ {
			if a, b := spanOwner(before, k), spanOwner(cl.table, k); a != b {
				moved++
			}
		}
	}
	return moved, overloaded
}

func spanOwner(t *table.Table, k table.Key) table.Incarnation {
	s, _ := t.SpanAt(service, k)
	return table.ServingMember(s.Ownership())
}

// TestAveragedCapacityMovesFewerKeys guards against keys that change hands all the time since a few requests make a target
// look slow, and against a target that becomes slow and keeps its keys for longer than without averages.
func TestAveragedCapacityMovesFewerKeys(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		moved, overloaded := playCapacity(seed)
		less, shorter := playCapacity(seed, stats.WithCapacityWindow(stats.CapacityWindow))
		t.Logf("seed %d: %.2f of all keys moved, %.2f with averages; overloaded for %d and %d ms", seed, float64(moved)/keyCount, float64(less)/keyCount, overloaded, shorter)
		is.True(less < moved/2)
		is.True(shorter <= overloaded+clock.Second)
	}
}
