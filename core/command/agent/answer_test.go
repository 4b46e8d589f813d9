package agent

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/lease"
	"verbenabank/core/state/grant"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

const orderedService = "ledger"

// newOrderedHarness returns a member of an ordered service whose target sends its grants' heartbeats, with a
// lease and without keys.
func newOrderedHarness(t *testing.T) *harness {
	h := &harness{is: is.New(t), now: 1000}
	params := lease.NewParams(5*clock.Second, 100, 500, clock.Second)
	h.agent = New(WithInstance("i", "z", "a"), WithRandom(func() uint64 { h.random++; return h.random }), WithDelivery(grant.ByHeartbeat{}),
		WithLeaseParams(params))
	h.beat(1, Accepting{})
	h.is.Equal(len(h.answers()), 0) // the first heartbeat waits for the first grant
	h.step(Connected{})
	j, ok := find[SendJoin](h)
	h.is.True(ok)
	ordered := rules.NewOrdered(rules.NewHeader("key"), 100)
	h.update(table.NewRulesSet(rules.New(3, "d", rules.NewService(orderedService, rules.WithKind(ordered)))), table.NewMemberSet(j.Member()))
	h.now += maxAnswerDelay
	h.step(Ticked{})
	h.is.Equal(h.answers()[0].Answer(), grant.Nothing{}) // it has no lease yet
	h.step(NewLeaseGranted(h.agent.holder.Sequence(), params.TTL(), params.RulesTTL(), h.version, groupID))
	return h
}

func (h *harness) beat(sequence uint64, phase TargetPhase, held ...grant.Row) {
	b := NewHeartbeat("t", 7, sequence, phase).WithService(orderedService, "1.2.3.4:5", 9).WithID(sequence)
	h.step(b.WithReport(grant.NewReport(held, nil)))
}

// answers returns the answers of the last step.
func (h *harness) answers() []AnswerHeartbeat {
	var list []AnswerHeartbeat
	for _, f := range h.effects {
		if a, ok := f.(AnswerHeartbeat); ok {
			list = append(list, a)
		}
	}
	return list
}

func (h *harness) own(first, last table.Key, e table.Epoch) {
	self, _ := h.agent.Self()
	h.update(table.NewSpanSet(orderedService, table.NewSpan(first, last, table.NewOwned(self, e))))
}

// offered returns the rows of the answer that is given now, or when it has waited for more news.
func (h *harness) offered() []grant.Row {
	if len(h.answers()) == 0 {
		h.now += newsDelay
		h.step(Ticked{})
	}
	list := h.answers()
	h.is.Equal(len(list), 1)
	o, ok := list[0].Answer().(grant.Offer)
	h.is.True(ok)
	return o.Rows()
}

// TestWaitingHeartbeatCarriesAChangeAtOnce guards against moves that wait for the next heartbeat of the
// receiver, and then for that of the giver.
func TestWaitingHeartbeatCarriesAChangeAtOnce(t *testing.T) {
	h := newOrderedHarness(t)
	h.beat(2, Accepting{})
	h.is.Equal(len(h.answers()), 0)
	h.now += 100
	h.own(0, 99, 5)
	h.is.Equal(h.offered(), []grant.Row{grant.NewRow(0, 99, 5)})
	h.now += 300
	h.beat(3, Accepting{}, grant.NewRow(0, 99, 5))
	h.is.Equal(len(h.answers()), 0)
	h.now += 200
	self, _ := h.agent.Self()
	h.update(table.NewSpanSet(orderedService, table.NewSpan(0, 99, table.NewMoving(self, 99, 5))))
	_, served := h.snap.OwnsKey(orderedService, 7, h.now)
	h.is.True(served) // until the target is told
	h.is.Equal(len(h.offered()), 0)
	_, served = h.snap.OwnsKey(orderedService, 7, h.now)
	h.is.True(!served)
}

// TestRangesOfOneMoveArriveTogether guards against ranges that wait for the next heartbeat because another one of
// the same move arrived a moment before.
func TestRangesOfOneMoveArriveTogether(t *testing.T) {
	h := newOrderedHarness(t)
	h.beat(2, Accepting{})
	h.own(0, 9, 5)
	h.now += 2
	h.own(10, 19, 6)
	h.is.Equal(len(h.offered()), 2)
}

// TestHeartbeatWithoutNewsIsAnsweredInTime guards against a target that gives up its heartbeat.
func TestHeartbeatWithoutNewsIsAnsweredInTime(t *testing.T) {
	h := newOrderedHarness(t)
	h.beat(2, Accepting{})
	h.is.True(h.agent.NextTick() <= h.now+maxAnswerDelay)
	h.now += maxAnswerDelay
	h.step(Ticked{})
	h.is.Equal(len(h.answers()), 1)
	h.is.Equal(len(h.offered()), 0)
}

// TestDrainIsAcknowledgedOnceRecorded guards against a drain whose acknowledgement waits for other news, and against
// one that only this process of the daemon knows of: after a restart the target would be used again.
func TestDrainIsAcknowledgedOnceRecorded(t *testing.T) {
	h := newOrderedHarness(t)
	h.beat(2, Retiring{})
	h.is.Equal(len(h.answers()), 0)
	h.beat(2, Retiring{}) // sent once more
	h.is.Equal(len(h.answers()), 0)
	h.is.True(h.agent.NextTick() > h.now)
	h.beat(3, Retiring{})
	h.is.Equal(len(h.answers()), 0)
	h.update(table.NewTargetLeft("i", 7))
	h.is.Equal(len(h.answers()), 1)
	h.is.Equal(h.answers()[0].ID(), uint64(3))
	h.beat(4, Retiring{})
	h.now += maxAnswerDelay
	h.step(Ticked{})
	h.is.Equal(len(h.answers()), 1)
}

// TestOvertakenHeartbeatsRenewNothing covers heartbeats that arrive twice, out of order, or from an earlier
// life of the target: each is answered, and none of them changes what is held.
func TestOvertakenHeartbeatsRenewNothing(t *testing.T) {
	h := newOrderedHarness(t)
	h.own(0, 99, 5)
	row := grant.NewRow(0, 99, 5)
	h.beat(4, Accepting{}, row)
	h.is.Equal(len(h.offered()), 1)
	h.beat(4, Accepting{})
	h.is.Equal(h.answers()[0].Answer(), grant.Nothing{})
	h.beat(3, Accepting{})
	h.is.Equal(h.answers()[0].Answer(), grant.Nothing{})
	h.step(NewHeartbeat("t", 6, 9, Accepting{}).WithService(orderedService, "1.2.3.4:5", 9).WithID(20))
	h.is.Equal(h.answers()[0].Answer(), grant.Nothing{})
	h.now += 20
	h.step(Ticked{})
	_, held := h.snap.OwnsKey(orderedService, 7, h.now)
	h.is.True(held)
	h.beat(5, Accepting{}, row) // waits
	h.beat(6, Accepting{}, row) // overtakes it
	h.is.Equal(h.answers()[0].ID(), uint64(5))
	h.is.Equal(h.answers()[0].Answer(), grant.Nothing{})
}

// TestColdTimesOfTheTargetInUseAreReported guards against a limit that follows the heartbeats of another target, or late
// ones.
func TestColdTimesOfTheTargetInUseAreReported(t *testing.T) {
	h := newOrderedHarness(t)
	beat := func(name string, sequence uint64) Heartbeat {
		return NewHeartbeat(name, 7, sequence, Accepting{}).WithService(orderedService, "1.2.3.4:5", 9).WithID(sequence)
	}
	h.step(beat("t", 2))
	_, ok := find[ReportCold](h)
	h.is.True(!ok)
	h.step(beat("t", 4).WithColdTime(900))
	r, ok := find[ReportCold](h)
	h.is.True(ok)
	h.is.Equal(r.Left(), clock.Millis(900))
	h.step(beat("t", 3).WithColdTime(1700))
	_, ok = find[ReportCold](h)
	h.is.True(!ok)
	h.step(beat("u", 5).WithColdTime(1700))
	_, ok = find[ReportCold](h)
	h.is.True(!ok)
}
