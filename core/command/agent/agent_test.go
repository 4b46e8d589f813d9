package agent

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/lease"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
)

const (
	service = "bookings"
	groupID = 7
)

// harness drives an agent and records the effects of its last step and the published snapshot.
type harness struct {
	is      *is.I
	agent   *Agent
	now     clock.Millis
	random  uint64
	effects []Effect
	snap    *snap.Snapshot
	version uint64
}

func newHarness(t *testing.T) *harness {
	h := &harness{is: is.New(t), now: 1000, snap: snap.New(table.Empty(), 0, 0, 0)}
	h.agent = New(WithInstance("i", "z", "a"), WithRandom(func() uint64 { h.random++; return h.random }))
	return h
}

func (h *harness) step(e Event) {
	h.effects = h.agent.Step(h.now, e)
	for _, f := range h.effects {
		if p, ok := f.(Publish); ok {
			h.snap = p.Snap()
		}
	}
}

// find returns the last effect of a type from the last step.
func find[E Effect](h *harness) (E, bool) {
	var found E
	ok := false
	for _, f := range h.effects {
		if e, is := f.(E); is {
			found, ok = e, true
		}
	}
	return found, ok
}

func (h *harness) update(changes ...table.Change) {
	h.version++
	h.step(NewTableUpdated(false, h.version-1, h.version, changes))
}

// becomeMember announces a target, joins, obtains a lease and owns shard 0 at epoch 5.
func (h *harness) becomeMember() {
	h.step(NewAnnounced(service, "t", "boot"))
	h.step(Connected{})
	j, ok := find[SendJoin](h)
	h.is.True(ok)
	r := rules.New(3, "d", rules.NewService(service, rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), 4))))
	h.update(table.NewRulesSet(r), table.NewMemberSet(j.Member()),
		table.NewOwnershipSet(service, 0, table.NewOwned(j.Member().Incarnation(), 5)))
	h.now += lease.RenewInterval
	h.step(Ticked{})
	h.answerRenewal()
	h.is.True(h.owns())
}

// answerRenewal grants the lease that the last renewal requested.
func (h *harness) answerRenewal() {
	h.step(NewLeaseGranted(h.agent.holder.Sequence(), lease.TTL, lease.RulesTTL, h.version, groupID))
}

func (h *harness) owns() bool {
	_, ok := h.snap.Owns(service, 0, h.now)
	return ok
}

func TestLeaseTTLCountsFromSendingTheRenewal(t *testing.T) {
	h := newHarness(t)
	h.becomeMember()
	h.now += lease.RenewInterval
	h.step(Ticked{})
	sent := h.now
	h.now += 150
	h.answerRenewal()
	h.is.Equal(h.snap.LeaseEnd(), sent+lease.TTL-lease.Margin)
	h.is.Equal(h.snap.RulesEnd(), sent+lease.RulesTTL-lease.Margin)
}

func TestUpdatesToEarlierVersionsAreRejected(t *testing.T) {
	for name, change := range map[string]table.Change{
		"epoch": table.NewOwnershipSet(service, 0, table.NewOwned(99, 4)),
		"rules": table.NewRulesSet(rules.New(2, "e")),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.becomeMember()
			before := h.agent.Table()
			h.update(change)
			_, violated := find[InvariantViolated](h)
			h.is.True(violated)
			h.is.True(!h.owns())                // refuses requests rather than serving them
			h.is.Equal(h.agent.Table(), before) // the update is not applied
			_, reconnects := find[Reconnect](h)
			h.is.True(reconnects)
		})
	}
}

func TestLeaseOfAnotherControlGroupIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.becomeMember()
	end := h.snap.LeaseEnd()
	h.now += lease.RenewInterval
	h.step(Ticked{})
	h.step(NewLeaseGranted(h.agent.holder.Sequence(), lease.TTL, lease.RulesTTL, h.version, groupID+1))
	_, violated := find[InvariantViolated](h)
	h.is.True(violated)
	h.is.Equal(h.snap.LeaseEnd(), end)
}

func TestLostUpdateStartsANewSession(t *testing.T) {
	h := newHarness(t)
	h.becomeMember()
	h.step(NewTableUpdated(false, h.version+1, h.version+2, nil))
	_, reconnects := find[Reconnect](h)
	h.is.True(reconnects)
}

func TestUnansweredRenewalReconnects(t *testing.T) {
	h := newHarness(t)
	h.becomeMember()
	h.now += lease.RenewInterval
	h.step(Ticked{}) // sent, never answered
	h.now += lease.RenewInterval
	h.step(Ticked{})
	_, reconnects := find[Reconnect](h)
	h.is.True(reconnects)
}

func TestUnresponsiveTargetIsGivenUpOnlyAfterItsLease(t *testing.T) {
	h := newHarness(t)
	h.becomeMember()
	end := h.snap.LeaseEnd()
	h.step(NewTargetLost(Unresponsive{}))
	h.is.True(!h.owns())
	h.now = end - 1
	h.step(Ticked{})
	_, early := find[SendGone](h)
	h.is.True(!early)
	h.now = end
	h.step(Ticked{})
	_, gone := find[SendGone](h)
	h.is.True(gone)
}

func TestDeadTargetIsGivenUpOnceNothingIsInFlight(t *testing.T) {
	h := newHarness(t)
	h.becomeMember()
	h.step(NewTargetLost(Dead{}))
	h.is.True(!h.owns())
	_, early := find[SendGone](h)
	h.is.True(!early)
	h.step(AllDrained{})
	_, gone := find[SendGone](h)
	h.is.True(gone)
}

// TestTargetWithClosedPortFinishesItsRequests guards against connections being closed to a target that
// has closed its port but is still working on requests.
func TestTargetWithClosedPortFinishesItsRequests(t *testing.T) {
	h := newHarness(t)
	h.becomeMember()
	h.step(NewTargetLost(PortClosed{}))
	h.is.True(!h.owns())
	_, dropped := find[DropTarget](h)
	h.is.True(!dropped)
	h.step(AllDrained{})
	_, gone := find[SendGone](h)
	h.is.True(gone)
}

func TestMovingShardIsReleasedOnlyAfterItIsClosedAndDrained(t *testing.T) {
	h := newHarness(t)
	h.becomeMember()
	self, _ := h.agent.Self()
	h.update(table.NewOwnershipSet(service, 0, table.NewMoving(self, 99, 5)))
	h.is.True(h.owns()) // until it is quiesced
	h.step(NewShardDrained(service, 0, 5))
	h.is.Equal(len(h.agent.releases()), 0) // not closed yet
	h.step(NewShardQuiesced(service, 0, 5))
	h.is.True(!h.owns())
	h.step(NewShardDrained(service, 0, 5))
	r, ok := find[SendRenew](h)
	h.is.True(ok)
	h.is.Equal(len(r.Releases()), 1)
	h.update(table.NewOwnershipSet(service, 0, table.NewOwned(99, 6)))
	h.is.Equal(len(h.agent.releases()), 0)
}

func TestMoveThatEndsInTheSameUpdateStartsNoHandover(t *testing.T) {
	h := newHarness(t)
	h.becomeMember()
	self, _ := h.agent.Self()
	h.update(table.NewOwnershipSet(service, 0, table.NewMoving(self, 99, 5)),
		table.NewOwnershipSet(service, 0, table.NewOwned(self, 6)))
	_, awaits := find[AwaitQuiesced](h)
	h.is.True(!awaits)
	h.is.True(h.owns())
}

func TestStopWaitsUntilTheOthersLearnOfIt(t *testing.T) {
	h := newHarness(t)
	h.becomeMember()
	self, _ := h.agent.Self()
	h.step(StopRequested{})
	_, leaves := find[SendLeave](h)
	h.is.True(leaves)
	m, _ := h.agent.Table().Member(self)
	h.update(table.NewMemberSet(m.WithPhase(table.Leaving{})), table.NewOwnershipSet(service, 0, table.NewOwned(99, 6)))
	h.step(AllDrained{})
	_, gone := find[SendGone](h)
	h.is.True(gone)
	_, early := find[Stopped](h)
	h.is.True(!early)
	h.update(table.NewMemberRemoved(self))
	_, stopped := find[Stopped](h)
	h.is.True(stopped)
}
