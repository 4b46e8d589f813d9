package ranges_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/stats"
	"verbenabank/core/query/ranges"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// Shape of the simulated service: targets of different speed, keys of which some neighbors are popular, and service
// times that differ from request to request.
const (
	simMembers   = 24
	simSlots     = 5
	simMeanMs    = 90.0
	simSpread    = 0.8 // standard deviation of the logarithm of a service time
	simReport    = 500 * clock.Millisecond
	simPlan      = 100 * clock.Millisecond
	simSmoothing = 8 // of the daemons' moving average
	simTime      = 60 * clock.Second
	simSettled   = 15 * clock.Second
)

// capacitySim plays reports of members and plans of the leader. Its targets serve all requests, whatever their load.
type capacitySim struct {
	rand     *rand.Rand
	table    *table.Table
	stats    *stats.Collector
	now      clock.Millis
	rates    []float64 // true rates of the cells
	speeds   map[table.Incarnation]float64
	averages map[table.Incarnation]float64 // of the daemons
	moved    int                           // keys that changed hands after simSettled
	excess   float64                       // requests beyond what their targets can run, as a share of all
	samples  int
}

func newCapacitySim(seed uint64, utilization float64, opts ...stats.Option) *capacitySim {
	sim := &capacitySim{
		rand: rand.New(rand.NewPCG(seed, 1)), table: table.Empty(), stats: stats.New(0, opts...), now: 1,
		speeds: map[table.Incarnation]float64{}, averages: map[table.Incarnation]float64{}, rates: make([]float64, keyCount/load.CellKeys),
	}
	capacity := 0.0
	for n := range simMembers {
		i := table.Incarnation(n + 1)
		m := table.NewMember(i, fmt.Sprint(n), "z", "a", service, table.Serving{})
		sim.table = sim.table.With(sim.table.Version()+1, table.NewMemberSet(m))
		sim.stats.MemberJoined(m, 0)
		sim.speeds[i], sim.averages[i] = []float64{0.5, 1, 1, 1.5}[n%4], simMeanMs
		capacity += simSlots * 1000 / simMeanMs * sim.speeds[i]
	}
	sum := 0.0
	for c := range sim.rates {
		sim.rates[c] = math.Pow(float64(c+1), -0.6)
		sum += sim.rates[c]
	}
	for c := range sim.rates {
		sim.rates[c] *= utilization * capacity / sum
	}
	return sim
}

// poisson returns a random count with the mean.
func (sim *capacitySim) poisson(mean float64) uint64 {
	n, p, limit := uint64(0), sim.rand.Float64(), math.Exp(-mean)
	for ; p > limit; n++ {
		p *= sim.rand.Float64()
	}
	return n
}

// report reports the requests of a member, of which each has a random service time.
func (sim *capacitySim) report(i table.Incarnation) {
	var owned []table.Span
	var cells []load.Cell
	for _, s := range sim.table.Spans(service) {
		if table.ServingMember(s.Ownership()) != i {
			continue
		}
		owned = append(owned, s)
		for c := load.CellOf(s.First()); c <= load.CellOf(s.Last()); c++ {
			n := sim.poisson(sim.rates[c] * float64(simReport) / float64(clock.Second))
			if n > 0 {
				cells = append(cells, load.NewCell(c, n))
			}
			for range n {
				took := simMeanMs / sim.speeds[i] * math.Exp(simSpread*sim.rand.NormFloat64()-simSpread*simSpread/2)
				sim.averages[i] += (took - sim.averages[i]) / simSmoothing
			}
		}
	}
	r := load.NewReport(nil, nil).WithCells(cells, load.NewTargetStats(simSlots, sim.averages[i], 0))
	sim.stats.RecordCells(i, service, owned, r, sim.now)
}

// plan carries out a plan, and counts the keys that change hands.
func (sim *capacitySim) plan() {
	for _, c := range ranges.Plan(sim.table, sim.stats.View(), rules.NewService(service, rules.WithKind(ordered)), ordered, sim.now) {
		e := table.Epoch(sim.table.Version() + 1)
		var s table.Span
		switch c := c.(type) {
		case logcmd.GrantSpan:
			s = table.NewSpan(c.First(), c.Last(), table.NewOwned(c.Owner(), e))
		case logcmd.MoveSpan:
			s = table.NewSpan(c.First(), c.Last(), table.NewOwned(c.Successor(), e))
			if sim.now > simSettled {
				sim.moved += s.Size()
			}
		}
		sim.table = sim.table.With(sim.table.Version()+1, table.NewSpanSet(service, s))
		sim.stats.SpanMoved(service, sim.now)
	}
}

// sample adds the share of the requests that go to targets beyond their capacity.
func (sim *capacitySim) sample() {
	rates, total, excess := map[table.Incarnation]float64{}, 0.0, 0.0
	for _, s := range sim.table.Spans(service) {
		for c := load.CellOf(s.First()); c <= load.CellOf(s.Last()); c++ {
			rates[table.ServingMember(s.Ownership())] += sim.rates[c]
			total += sim.rates[c]
		}
	}
	for n := range simMembers {
		i := table.Incarnation(n + 1)
		excess += max(0, rates[i]-0.9*simSlots*1000/simMeanMs*sim.speeds[i])
	}
	sim.excess, sim.samples = sim.excess+excess/total, sim.samples+1
}

func (sim *capacitySim) runUntil(end clock.Millis) {
	for ; sim.now < end; sim.now += simPlan {
		for n := range simMembers {
			if (sim.now+clock.Millis(n)*simPlan)%simReport < simPlan {
				sim.report(table.Incarnation(n + 1))
			}
		}
		sim.plan()
		if sim.now > simSettled {
			sim.sample()
		}
	}
}

// utilizationOf returns the true utilization of a member.
func (sim *capacitySim) utilizationOf(i table.Incarnation) float64 {
	rate := 0.0
	for _, s := range sim.table.Spans(service) {
		if table.ServingMember(s.Ownership()) != i {
			continue
		}
		for c := load.CellOf(s.First()); c <= load.CellOf(s.Last()); c++ {
			rate += sim.rates[c]
		}
	}
	return rate * simMeanMs / 1000 / simSlots / sim.speeds[i]
}

// slowDown makes a target three times slower at the end of a run, and returns how long it was overloaded.
func (sim *capacitySim) slowDown(i table.Incarnation) clock.Millis {
	sim.speeds[i] /= 3
	begin := sim.now
	for sim.utilizationOf(i) > 1 && sim.now < begin+clock.Minute {
		sim.runUntil(sim.now + simPlan)
	}
	return sim.now - begin
}

// TestAveragedCapacityMovesFewerKeys plays a service with and without averaged service times. It guards against keys that
// change hands all the time since a few requests make a target look slow, against targets that get more than they can run
// for the same reason, and against a target that becomes slow and keeps its keys for longer.
func TestAveragedCapacityMovesFewerKeys(t *testing.T) {
	is := is.New(t)
	type totals struct {
		moved  int
		excess float64
		slow   clock.Millis
	}
	play := func(opts ...stats.Option) (sum totals) {
		for seed := range uint64(4) {
			sim := newCapacitySim(seed, 0.7, opts...)
			sim.runUntil(simTime)
			sum.moved += sim.moved
			sum.excess += sim.excess / float64(sim.samples)
			sum.slow += sim.slowDown(2) + sim.slowDown(4)
		}
		return sum
	}
	reported, averaged := play(), play(stats.WithCapacityWindow(stats.CapacityWindow))
	t.Logf("as reported: %+v, averaged: %+v", reported, averaged)
	is.True(averaged.moved < reported.moved/2)
	is.True(averaged.excess <= reported.excess)
	is.True(averaged.slow <= reported.slow)
}
