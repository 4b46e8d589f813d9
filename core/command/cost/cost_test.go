package cost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/cost"
	"verbenabank/core/state/table"
)

// heavyTailed returns a cost around mean, of which 3 in 100 are 7 times as large.
func heavyTailed(r *rand.Rand, mean float64) float64 {
	c := mean * math.Exp(0.3*r.NormFloat64())
	if r.IntN(100) < 3 {
		c *= 7
	}
	return c
}

// TestSeparatesCostFromSpeed runs two classes at targets of speeds 0.6 to 1.6 and compares the ratios.
func TestSeparatesCostFromSpeed(t *testing.T) {
	is := is.New(t)
	m, r := cost.New(), rand.New(rand.NewPCG(1, 2))
	short, long := cost.NewClass("s", "short", "GET", 0), cost.NewClass("s", "long", "POST", 4000)
	speeds := []float64{0.6, 1, 1.6}
	for range 3000 {
		i, c, mean := r.IntN(len(speeds)), short, 40.0
		if r.IntN(2) == 0 {
			c, mean = long, 180
		}
		m.Observe(table.Incarnation(i+1), c, heavyTailed(r, mean)/speeds[i], 0)
	}
	costs := m.Mean(long) / m.Mean(short)
	fastest := m.Speed(3, m.Estimate(long)) / m.Speed(1, m.Estimate(long))
	t.Logf("cost ratio %.2f (4.5), speed ratio %.2f (2.67), tail %.0f ms of a mean of %.0f ms", costs, fastest, m.Quantile(long, 0.99), m.Mean(long))
	is.True(costs > 3.5 && costs < 5.5)
	is.True(fastest > 1.9 && fastest < 3.5)
	is.True(m.Quantile(long, 0.99) > 3*m.Mean(long))
	is.True(m.Remaining(long, 5*m.Mean(long)) > 0)
}

// TestForgetsAfterShift makes a class ten times as costly.
func TestForgetsAfterShift(t *testing.T) {
	is := is.New(t)
	m, r := cost.New(), rand.New(rand.NewPCG(1, 2))
	c := cost.NewClass("s", "r", "GET", 0)
	for n, mean := range []float64{20, 200} {
		for k := range 600 {
			m.Observe(table.Incarnation(1+k%20), c, heavyTailed(r, mean), 0)
		}
		t.Logf("phase %d: mean %.0f ms", n, m.Mean(c))
	}
	is.True(m.Mean(c) > 120 && m.Mean(c) < 400)
}

// TestClassesAndTargetsAreBounded guards against memory that grows with what callers send.
func TestClassesAndTargetsAreBounded(t *testing.T) {
	is := is.New(t)
	m := cost.New()
	for i := range 5000 {
		c := cost.NewClass("s", fmt.Sprint(i), "GET", int64(i)<<20)
		m.Observe(table.Incarnation(i), c, []float64{50, math.NaN(), -1, math.Inf(1)}[i%4], 0)
		is.True(m.Mean(c) > 0 && m.Mean(c) < 60_001)
	}
	is.Equal(m.Classes(), cost.MaxClasses)
}

// TestCallersDoNotUseUpTheClasses guards against callers whose methods leave no class for the requests of others, and against
// classes that are kept though no request of them came for long, as after a change of the routes.
func TestCallersDoNotUseUpTheClasses(t *testing.T) {
	is := is.New(t)
	m := cost.New()
	for i := range 1000 {
		m.Observe(1, cost.NewClass("s", "r", fmt.Sprint("M", i), 0), 50, 0)
	}
	is.Equal(m.Classes(), 1)
	for i := range 1000 {
		m.Observe(1, cost.NewClass("s", fmt.Sprint(i), "GET", 0), 50, 0)
	}
	later := 10 * clock.Minute
	next := cost.NewClass("s", "next", "GET", 0)
	for range 100 {
		m.Observe(1, next, 500, later)
	}
	is.Equal(m.Classes(), 1)
	is.True(m.Quantile(next, 0.5) > 300)
}

// TestWorkLeftFollowsSlowTarget slows a target 12 times: its work left grows with requests that only time out.
func TestWorkLeftFollowsSlowTarget(t *testing.T) {
	is := is.New(t)
	w, c, now := cost.NewWork(), cost.NewClass("s", "r", "GET", 0), clock.Millis(1)
	run := func(took clock.Millis, answered bool) {
		k := w.Enter(c)
		w.Start(k, now)
		now += took
		if answered {
			is.Equal(w.Answered(k, now), took)
		}
		w.Leave(k, now)
	}
	for range 100 {
		run(100, true)
	}
	waiting, twice := w.Enter(c), w.Enter(c)
	w.Start(twice, now)
	w.Start(twice, now)
	w.Leave(twice, now)
	w.Leave(twice, now)
	w.Start(twice, now)
	usual, _ := w.Left(now)
	for range 50 {
		run(3, false) // an error that came fast
	}
	fast, _ := w.Left(now)
	for range 20 {
		run(1200, false)
	}
	slow, _ := w.Left(now)
	w.Leave(waiting, now)
	none, _ := w.Left(now)
	t.Logf("work left: %d ms as usual, %d ms slow", usual, slow)
	is.True(usual > 80 && usual < 120)
	is.Equal(fast, usual)
	is.True(slow > 5*usual)
	is.Equal(none, clock.Millis(0))
}
