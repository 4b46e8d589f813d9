package agent

import (
	"testing"

	"verbenabank/core/command/hold"
	"verbenabank/core/state/table"
)

// TestPredecessorEndsOnlyIfTheTargetListens guards against keys that are free while a target holds them, and against
// keys that wait for the end of a lease without need. A daemon that has just started hears a target that started
// later than the one of its predecessor: that one has ended if the target listens at their address. If another
// process does, the heartbeat was late.
func TestPredecessorEndsOnlyIfTheTargetListens(t *testing.T) {
	for name, c := range map[string]struct {
		result hold.Result
		ended  bool
		lost   bool
	}{
		"target listens":          {hold.NewDone(""), true, false},
		"another process listens": {hold.Ended{}, false, true},
		"nobody knows":            {hold.Unreached{}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			const earlier = 77
			h.hearFrom("t", startTime, 3)
			h.step(Connected{})
			h.update(orderedRules(),
				table.NewMemberSet(table.NewMember(earlier, "i", "z", "a", service, table.Serving{}).WithTargetStartTime(startTime-1)),
				table.NewSpanSet(service, table.NewSpan(0, 99, table.NewOwned(earlier, 5))))
			_, asks := find[IdentifyTarget](h)
			h.is.True(asks)
			h.is.True(!h.gone())
			h.step(NewTargetIdentified("t", c.result))
			gone, ok := find[SendGone](h)
			h.is.Equal(ok, c.ended)
			_, joins := find[SendJoin](h)
			h.is.Equal(joins, c.ended)
			if c.ended {
				h.is.Equal(gone.Incarnation(), table.Incarnation(earlier))
			}
			h.is.Equal(!h.agent.isServing(), c.lost)
			h.now += h.agent.params.RenewInterval()
			h.step(Ticked{})
			_, asks = find[IdentifyTarget](h)
			h.is.Equal(asks, !c.ended && !c.lost)
		})
	}
}
