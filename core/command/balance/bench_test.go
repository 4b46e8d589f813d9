package balance_test

import (
	"math/rand/v2"
	"testing"

	"verbenabank/core/clock"
	"verbenabank/core/command/balance"
	"verbenabank/core/command/cost"
	"verbenabank/core/command/eject"
	"verbenabank/core/query/picker"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// BenchmarkPick measures the choice among 100 targets with known load by both policies.
func BenchmarkPick(b *testing.B) {
	s := newSim(picker.LeastLatency{}, 1, 3, zones(34, "a", "b", "c")[:100], 1)
	e, class := s.entries[0], cost.NewClass(service, "r", "GET", 0)
	for _, m := range e.members {
		sent := e.work.Send(m.Incarnation(), class, 1)
		reply := call.NewResponse(200, nil, nil, 0).WithBacklog(load.NewBacklog(slots, 3, 0).WithWork(300, 100).WithServed(100))
		e.work.Record(sent, reply, 1)
		e.work.End(sent, 1)
		e.tracker.Record(m.Incarnation(), eject.NewSuccess(100), 1)
	}
	const now clock.Millis = 2
	stats := func(m table.Member) picker.Stats { return e.tracker.View(m, 0, now) }
	b.Run("LeastLatency", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			picker.Pick(e.near, e.members, stats, rand.IntN)
		}
	})
	b.Run("ExpectedWork", func(b *testing.B) {
		b.ReportAllocs()
		p, r := picker.NewExpectedWork(100), balance.NewRequest(class, 0).WithCandidates(e.zone, e.near[:1], e.near, e.members)
		for b.Loop() {
			e.work.Pick(p, r, stats, now, rand.IntN)
		}
	})
}
