package balance_test

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/balance"
	"verbenabank/core/command/cost"
	"verbenabank/core/query/picker"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// zones returns the zones of targets, n in each of the named ones.
func zones(n int, names ...string) []string {
	var list []string
	for i := range n * len(names) {
		list = append(list, names[i%len(names)])
	}
	return list
}

// TestExpectedWorkWaitsLess compares the policies at 0.8 of the capacity of targets of speeds 0.6 to 1.6 with
// heavy-tailed costs, where each of 50 daemons sees a target through few requests.
func TestExpectedWorkWaitsLess(t *testing.T) {
	is := is.New(t)
	run := func(p picker.Policy) *sim {
		s := newSim(p, 1, 50, zones(20, "a"), 0.6, 1, 1.6)
		s.run(0.8*s.capacity(), 40_000, s.anyEntry)
		t.Logf("%T: wait p50 %.0f p95 %.0f p99 %.0f ms, herd %.1f", p, s.percentile(0.5), s.percentile(0.95), s.percentile(0.99), s.herd)
		return s
	}
	before, after := run(picker.LeastLatency{}), run(picker.NewExpectedWork(10))
	is.True(after.percentile(0.95) < 0.7*before.percentile(0.95))
	is.True(after.herd < 2.75)
}

// TestZoneSpillsOverBeforeItIsLate has 10 targets in each of two zones, and 80 percent of the requests in one.
func TestZoneSpillsOverBeforeItIsLate(t *testing.T) {
	is := is.New(t)
	for _, x := range []struct {
		shareOfA, load       float64
		minCrossed, maxCross float64
	}{{0.5, 0.5, 0, 0.05}, {0.8, 0.7, 0.15, 0.45}} {
		s := newSim(picker.NewExpectedWork(100), 1, 50, zones(10, "a", "b"), 0.6, 0.6, 1, 1, 1.6, 1.6)
		s.run(x.load*s.capacity(), 40_000, func() *entry {
			zone := 1
			if s.random.Float64() < x.shareOfA {
				zone = 0
			}
			return s.entries[2*s.random.IntN(len(s.entries)/2)+zone]
		})
		crossed := float64(s.crossed) / float64(len(s.waits))
		t.Logf("%.0f%% of the requests in one zone, load %.1f: crossed %.2f, wait p95 %.0f ms", x.shareOfA*100, x.load, crossed, s.percentile(0.95))
		is.True(crossed >= x.minCrossed && crossed <= x.maxCross)
		is.True(s.percentile(0.95) < 300)
	}
}

// TestFaultyTargets has one target that fails fast, slows down 12 times, reports nothing, or reports that it is idle
// while it is slow. The others must serve nearly all requests as before.
func TestFaultyTargets(t *testing.T) {
	for name, x := range map[string]struct {
		maxShare float64 // a twentieth is usual
		fail     func(s *sim)
	}{
		"fails fast": {0.05, func(s *sim) { s.targets[0].failing = true }},
		"slow":       {0.01, func(s *sim) { s.targets[0].speed /= 12 }},
		"silent": {0.1, func(s *sim) {
			s.report = func(of *server, b load.Backlog) load.Backlog {
				if of == s.targets[0] {
					return load.Backlog{}
				}
				return b
			}
		}},
		"lies": {0.03, func(s *sim) {
			s.targets[0].speed /= 12
			s.report = func(of *server, b load.Backlog) load.Backlog {
				if of == s.targets[0] {
					return load.NewBacklog(1<<20, 0, 0).WithServed(1)
				}
				return b
			}
		}},
		"claims endless work": {0.05, func(s *sim) {
			s.report = func(of *server, b load.Backlog) load.Backlog {
				if of == s.targets[0] {
					return load.NewBacklog(slots, 1<<28, 1<<28).WithWork(1<<40, clock.Minute)
				}
				return b
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(picker.NewExpectedWork(10), 1, 50, zones(20, "a"), 1)
			rate := 0.7 * s.capacity()
			s.after(5000, func() { x.fail(s) })
			s.run(rate, 30_000, s.anyEntry)
			t.Logf("wait p95 %.0f p99 %.0f ms, share of the target %.3f", s.percentile(0.95), s.percentile(0.99), s.shareOfFirst())
			is.True(s.percentile(0.95) < 200)
			is.True(s.shareOfFirst() < x.maxShare)
		})
	}
}

// TestMemoryAt300Daemons fills an estimator with 300 targets and the most classes.
func TestMemoryAt300Daemons(t *testing.T) {
	is := is.New(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	e := balance.New()
	for i := range table.Incarnation(300) {
		for k := range 4 {
			sent := e.Send(i+1, cost.NewClass(service, strconv.Itoa(int(i)), "GET", 1<<(10+2*k)), 1)
			b := load.NewBacklog(slots, 3, 0).WithWork(300, 100).WithServed(100)
			e.Record(sent, call.NewResponse(200, nil, nil, 0).WithBacklog(b), 2)
			e.End(sent, 2)
		}
	}
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("%d kB", allocated/1024)
	is.Equal(e.Costs().Classes(), cost.MaxClasses)
	is.True(allocated < 2<<20)
}
