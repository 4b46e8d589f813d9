package agent

import (
	"testing"

	"verbenabank/core/clock"
	"verbenabank/core/command/hold"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// orderedMember lets a target that started at startTime join, hold the keys 0 to 99 at epoch 5 and get a grant of
// them. It returns the grant, which has no result yet.
func (h *harness) orderedMember() hold.Call {
	h.hearFrom("t", startTime, 3)
	h.step(Connected{})
	j, ok := find[SendJoin](h)
	h.is.True(ok)
	h.update(orderedRules(), table.NewMemberSet(j.Member()))
	h.update(table.NewSpanSet(service, table.NewSpan(0, 99, table.NewOwned(j.Member().Incarnation(), 5))))
	h.now += h.agent.params.RenewInterval()
	h.step(Ticked{})
	h.answerRenewal()
	c, ok := find[SendCall](h)
	h.is.True(ok)
	return c.Call()
}

// orderedRules returns the change that makes the service an ordered one with the keys 0 to 99.
func orderedRules() table.Change {
	kind := rules.NewOrdered(rules.NewHeader("Key"), 100)
	return table.NewRulesSet(rules.New(3, "d", rules.NewService(service, rules.WithKind(kind))))
}

// tick lets time pass. The leader answers renewals.
func (h *harness) tick(d clock.Millis) {
	h.now += d
	h.step(Ticked{})
	if _, ok := find[SendRenew](h); ok {
		effects := h.effects
		h.answerRenewal()
		h.effects = append(effects, h.effects...)
	}
}

// hearFrom passes on a heartbeat of a target that accepts requests.
func (h *harness) hearFrom(name string, startTime, sequence uint64) {
	h.step(NewHeartbeat(name, startTime, sequence, Accepting{}).WithService(service, "1.2.3.4:5", 9).WithID(sequence))
}

// gone reports whether the last step has told the leader that this member holds nothing any more.
func (h *harness) gone() bool {
	_, ok := find[SendGone](h)
	return ok
}

// TestReplacedTargetKeepsItsKeysUntilTheyAreFree guards against two owners: the heartbeat of another process at the
// address of the target is no evidence that the target holds nothing (review cases 2, 3 and 5: it was, and the keys
// were given to others while a running server held them).
func TestReplacedTargetKeepsItsKeysUntilTheyAreFree(t *testing.T) {
	for name, c := range map[string]struct {
		result hold.Result
		free   bool
	}{
		"target releases them":     {hold.NewDone("token"), true},
		"target has ended":         {hold.Ended{}, true},
		"target does not answer":   {hold.Unanswered{}, false},
		"target cannot be reached": {hold.Unreached{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			grant := h.orderedMember()
			granted := h.now
			h.step(NewCallEnded(grant.ID(), hold.NewDone("")))
			h.hearFrom("u", startTime+1, 1)
			h.is.True(!h.gone())
			release, ok := find[SendCall](h)
			h.is.True(ok)
			h.step(AllDrained{})
			h.is.True(!h.gone())
			h.step(NewCallEnded(release.Call().ID(), c.result))
			h.is.Equal(h.gone(), c.free)
			for end := granted + grant.(hold.Grant).TTL(); !c.free && h.now+50 < end; {
				h.tick(50)
				h.is.True(!h.gone())
				if again, ok := find[SendCall](h); ok {
					h.step(NewCallEnded(again.Call().ID(), c.result))
				}
			}
			for wait := granted + 400; !c.free && h.now < wait && !h.gone(); {
				h.tick(10)
				if again, ok := find[SendCall](h); ok && !h.gone() {
					h.step(NewCallEnded(again.Call().ID(), c.result))
				}
			}
			h.is.True(h.gone())
			h.is.Equal(h.agent.target.name, "u")
		})
	}
}

// TestEndedTargetIsGivenUp covers a call that shows that the target has ended: its keys are free at once, also if
// no heartbeat of another one has come.
func TestEndedTargetIsGivenUp(t *testing.T) {
	h := newHarness(t)
	h.step(NewCallEnded(h.orderedMember().ID(), hold.Ended{}))
	h.is.True(!h.gone())
	h.step(AllDrained{})
	h.is.True(h.gone())
}

// TestTargetWithClosedPortReleasesItsKeys guards against keys that are free while the target, which has closed its
// port but is still up, holds them.
func TestTargetWithClosedPortReleasesItsKeys(t *testing.T) {
	h := newHarness(t)
	h.step(NewCallEnded(h.orderedMember().ID(), hold.NewDone("")))
	h.step(NewTargetLost(PortClosed{}))
	release, ok := find[SendCall](h)
	h.is.True(ok)
	h.step(AllDrained{})
	h.is.True(!h.gone())
	h.step(NewCallEnded(release.Call().ID(), hold.NewDone("")))
	h.is.True(h.gone())
}

// TestUnansweredGrantOutlivesTheLease guards against keys of an unresponsive target that are free at the end of the
// lease, while a grant without an answer ends later.
func TestUnansweredGrantOutlivesTheLease(t *testing.T) {
	h := newHarness(t)
	grant := h.orderedMember().(hold.Grant)
	h.now += 700
	h.step(NewCallEnded(grant.ID(), hold.Unanswered{}))
	end := h.now + grant.TTL() + grant.TTL()*2/100
	h.step(NewTargetLost(Unresponsive{}))
	for ; h.now < end; h.now += 50 {
		h.step(Ticked{})
		h.is.True(!h.gone())
		h.is.True(h.agent.NextTick() > h.now)
	}
	h.now += 50
	h.step(Ticked{})
	h.is.True(h.gone())
}

// TestLateHeartbeatReplacesNoTarget guards against the use of an earlier process: its heartbeat arrives while those of the
// running target are late (review case 5).
func TestLateHeartbeatReplacesNoTarget(t *testing.T) {
	h := newHarness(t)
	h.orderedMember()
	h.now += 2 * supersedeAfter
	h.hearFrom("old", startTime-1, 9)
	h.is.Equal(h.agent.target.name, "t")
	h.is.True(h.agent.isServing())
	h.step(NewTargetLost(PortClosed{}))
	h.step(AllDrained{})
	h.step(NewCallEnded(1, hold.Ended{}))
	h.is.Equal(h.agent.target.name, "")
	h.hearFrom("next", startTime-1, 1) // the wall clock was set back before it started
	h.is.Equal(h.agent.target.name, "next")
}
