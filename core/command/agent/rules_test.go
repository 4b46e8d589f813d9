package agent

import (
	"testing"

	"verbenabank/core/clock"
	"verbenabank/core/command/lease"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// addMembers adds two other members to the table, at addresses "b" and "c".
func (h *harness) addMembers() {
	h.update(table.NewMemberSet(table.NewMember(801, "j", "z", "b", service, table.Serving{})),
		table.NewMemberSet(table.NewMember(802, "k", "z", "c", service, table.Serving{})))
}

func (h *harness) rulesVersion() uint64 { return h.snap.Table().Rules().Version() }

// askAfter lets time pass without an answer to any renewal, and returns the question at its end.
func (h *harness) askAfter(d clock.Millis) (AskRules, bool) {
	h.now += d
	h.step(Ticked{})
	return find[AskRules](h)
}

const unconfirmedAfter = unconfirmedIntervals * lease.RenewInterval

// TestUnconfirmedRulesAreAskedFor guards against a daemon that waits for its leader alone while others have a newer
// configuration, and against questions while all is well.
func TestUnconfirmedRulesAreAskedFor(t *testing.T) {
	h := newHarness(t)
	h.becomeMember()
	h.addMembers()
	_, asks := h.askAfter(unconfirmedAfter - 1)
	h.is.True(!asks)
	q, asks := h.askAfter(1)
	h.is.True(asks)
	h.is.Equal(len(q.Addresses()), 2) // itself is not asked
	h.is.Equal(q.Version(), uint64(3))
	_, asks = h.askAfter(askInterval - 1)
	h.is.True(!asks)
	h.step(NewRulesAnswered(q.Asked(), groupID, 5).WithNewer(rules.New(5, "e")).WithConfirmation(20))
	h.is.Equal(h.rulesVersion(), uint64(5))
	_, asks = h.askAfter(1) // the other member's confirmation is its own as well
	h.is.True(!asks)
}

// TestAnswersOfMembersNeverRegress guards against an older configuration, or one of another control group, from a member
// that is late itself, and against a leader's update that was sent before the newer configuration.
func TestAnswersOfMembersNeverRegress(t *testing.T) {
	h := newHarness(t)
	h.becomeMember()
	h.addMembers()
	q, _ := h.askAfter(unconfirmedAfter)
	h.step(NewRulesAnswered(q.Asked(), groupID+1, 9).WithNewer(rules.New(9, "e")))
	h.is.Equal(h.rulesVersion(), uint64(3))
	h.step(NewRulesAnswered(q.Asked(), groupID, 5).WithNewer(rules.New(5, "e")))
	h.step(NewRulesAnswered(q.Asked(), groupID, 4).WithNewer(rules.New(4, "e")))
	h.is.Equal(h.rulesVersion(), uint64(5))
	h.update(table.NewRulesSet(rules.New(4, "e")))
	_, violated := find[InvariantViolated](h)
	h.is.True(!violated)
	h.is.Equal(h.rulesVersion(), uint64(5))
	h.update(table.NewRulesSet(rules.New(6, "e")))
	h.is.Equal(h.rulesVersion(), uint64(6))
	h.update(table.NewRulesSet(rules.New(4, "e"))) // the leader itself goes back
	_, violated = find[InvariantViolated](h)
	h.is.True(violated)
}

// TestConfirmationCountsFromItsLeader guards against rules that stay valid for longer than their lease after the last
// quorum round, since each member that passes a confirmation on counts from its own receipt.
func TestConfirmationCountsFromItsLeader(t *testing.T) {
	h := newHarness(t)
	h.becomeMember()
	h.addMembers()
	end, ownershipEnd := h.snap.RulesEnd(), h.snap.LeaseEnd()
	q, _ := h.askAfter(unconfirmedAfter)
	h.now += 100
	h.step(NewRulesAnswered(q.Asked(), groupID, 3).WithConfirmation(50))
	h.is.Equal(h.snap.RulesEnd(), q.Asked()-50+lease.RulesTTL-lease.Margin)
	h.is.True(h.snap.RulesEnd() > end)
	later := h.snap.RulesEnd()
	h.step(NewRulesAnswered(q.Asked(), groupID, 7).WithConfirmation(0)) // of rules that it does not have
	h.is.Equal(h.snap.RulesEnd(), later)
	h.is.Equal(h.snap.LeaseEnd(), ownershipEnd) // ownership needs the leader
}

// TestRestartedDaemonAsksItsLeaderFirst guards against a restarted daemon that takes a configuration from a late member
// which is older than the one that it used before.
func TestRestartedDaemonAsksItsLeaderFirst(t *testing.T) {
	h := newHarness(t)
	h.step(NewAnnounced(service, "t", "boot"))
	h.step(Connected{})
	h.addMembers()
	_, asks := h.askAfter(10 * clock.Second)
	h.is.True(!asks)
	h.step(NewRulesAnswered(h.now, groupID, 3).WithNewer(rules.New(3, "e")))
	h.is.Equal(h.rulesVersion(), uint64(0))
}

// TestLapsedRulesAreReported guards against a daemon with lasting rules that serves with an old configuration and tells
// nobody, while it can reach neither a leader nor another member.
func TestLapsedRulesAreReported(t *testing.T) {
	h := newHarness(t)
	h.agent = New(WithInstance("i", "z", "a"), WithRandom(func() uint64 { h.random++; return h.random }), WithLastingRules())
	h.becomeMember()
	h.now = h.agent.holder.RulesEnd() - 1
	h.step(Ticked{})
	_, lapsed := find[RulesLapsed](h)
	h.is.True(!lapsed)
	h.is.True(h.agent.NextTick() <= h.now+1)
	h.now++
	h.step(Ticked{})
	_, lapsed = find[RulesLapsed](h)
	h.is.True(lapsed)
	h.is.True(h.snap.RulesValid(h.now)) // callers are served
	h.now += 500
	h.step(Ticked{})
	_, lapsed = find[RulesLapsed](h)
	h.is.True(!lapsed) // once
	h.step(NewRulesAnswered(h.now, groupID, 3).WithConfirmation(10))
	renewed, ok := find[RulesRenewed](h)
	h.is.True(ok)
	h.is.Equal(renewed.After(), clock.Millis(500))
}
