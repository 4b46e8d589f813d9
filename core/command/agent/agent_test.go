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

// bench is an agent with the effects of its last step.
type bench struct {
	is      *is.I
	agent   *Agent
	now     clock.Millis
	drawn   uint64
	effects []Effect
	snap    *snap.Snapshot
	version uint64
}

func newBench(t *testing.T) *bench {
	b := &bench{is: is.New(t), now: 1000, snap: snap.New(table.Empty(), 0, 0, 0)}
	b.agent = New(WithInstance("i", "z", "a"), WithRandom(func() uint64 { b.drawn++; return b.drawn }))
	return b
}

func (b *bench) step(e Event) {
	b.effects = b.agent.Step(b.now, e)
	for _, f := range b.effects {
		if p, ok := f.(Publish); ok {
			b.snap = p.Snap()
		}
	}
}

// find returns the last effect of a type.
func find[E Effect](b *bench) (E, bool) {
	var found E
	ok := false
	for _, f := range b.effects {
		if e, is := f.(E); is {
			found, ok = e, true
		}
	}
	return found, ok
}

func (b *bench) update(changes ...table.Change) {
	b.version++
	b.step(NewTableUpdated(false, b.version-1, b.version, changes))
}

// member joins with a target, gets a lease and owns shard 0 at epoch 5.
func (b *bench) member() {
	b.step(NewAnnounced(service, "t", "boot"))
	b.step(Connected{})
	j, ok := find[SendJoin](b)
	b.is.True(ok)
	r := rules.New(3, "d", rules.NewService(service, rules.WithKind(rules.NewKeyed(rules.NewPathSegment(2), 4))))
	b.update(table.NewRulesSet(r), table.NewMemberSet(j.Member()),
		table.NewOwnershipSet(service, 0, table.NewOwned(j.Member().Incarnation(), 5)))
	b.now += lease.RenewInterval
	b.step(Ticked{})
	b.answer()
	b.is.True(b.owns())
}

// answer gives the lease that the last renewal asked for.
func (b *bench) answer() {
	b.step(NewLeaseGranted(b.agent.holder.Sequence(), lease.TTL, lease.RulesTTL, b.version, groupID))
}

func (b *bench) owns() bool {
	_, ok := b.snap.Owns(service, 0, b.now)
	return ok
}

func TestLeaseCountsFromTheSending(t *testing.T) {
	b := newBench(t)
	b.member()
	b.now += lease.RenewInterval
	b.step(Ticked{})
	sent := b.now
	b.now += 150
	b.answer()
	b.is.Equal(b.snap.LeaseEnd(), sent+lease.TTL-lease.Margin)
	b.is.Equal(b.snap.RulesEnd(), sent+lease.RulesTTL-lease.Margin)
}

func TestUpdatesThatGoBackAreRefused(t *testing.T) {
	for name, change := range map[string]table.Change{
		"epoch": table.NewOwnershipSet(service, 0, table.NewOwned(99, 4)),
		"rules": table.NewRulesSet(rules.New(2, "e")),
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.member()
			before := b.agent.Table()
			b.update(change)
			_, violated := find[InvariantViolated](b)
			b.is.True(violated)
			b.is.True(!b.owns())                // refuse rather than serve
			b.is.Equal(b.agent.Table(), before) // the table stays
			_, again := find[Reconnect](b)
			b.is.True(again)
		})
	}
}

func TestAnotherGroupIsNotBelieved(t *testing.T) {
	b := newBench(t)
	b.member()
	end := b.snap.LeaseEnd()
	b.now += lease.RenewInterval
	b.step(Ticked{})
	b.step(NewLeaseGranted(b.agent.holder.Sequence(), lease.TTL, lease.RulesTTL, b.version, groupID+1))
	_, violated := find[InvariantViolated](b)
	b.is.True(violated)
	b.is.Equal(b.snap.LeaseEnd(), end)
}

func TestMissingUpdateStartsTheSessionAnew(t *testing.T) {
	b := newBench(t)
	b.member()
	b.step(NewTableUpdated(false, b.version+1, b.version+2, nil))
	_, again := find[Reconnect](b)
	b.is.True(again)
}

func TestUnansweredRenewalLooksForAnotherLeader(t *testing.T) {
	b := newBench(t)
	b.member()
	b.now += lease.RenewInterval
	b.step(Ticked{}) // sent, never answered
	b.now += lease.RenewInterval
	b.step(Ticked{})
	_, again := find[Reconnect](b)
	b.is.True(again)
}

func TestMuteTargetIsGivenBackOnlyAfterItsLease(t *testing.T) {
	b := newBench(t)
	b.member()
	end := b.snap.LeaseEnd()
	b.step(NewTargetLost(Unresponsive{}))
	b.is.True(!b.owns())
	b.now = end - 1
	b.step(Ticked{})
	_, early := find[SendGone](b)
	b.is.True(!early)
	b.now = end
	b.step(Ticked{})
	_, gone := find[SendGone](b)
	b.is.True(gone)
}

func TestDeadTargetIsGivenBackOnceNothingIsInFlight(t *testing.T) {
	b := newBench(t)
	b.member()
	b.step(NewTargetLost(Dead{}))
	b.is.True(!b.owns())
	_, early := find[SendGone](b)
	b.is.True(!early)
	b.step(AllDrained{})
	_, gone := find[SendGone](b)
	b.is.True(gone)
}

// TestShutTargetFinishesWhatItHas guards against requests that were cut at a target which had closed
// its port and was still at work.
func TestShutTargetFinishesWhatItHas(t *testing.T) {
	b := newBench(t)
	b.member()
	b.step(NewTargetLost(PortClosed{}))
	b.is.True(!b.owns())
	_, cut := find[DropTarget](b)
	b.is.True(!cut)
	b.step(AllDrained{})
	_, gone := find[SendGone](b)
	b.is.True(gone)
}

func TestMovingShardIsReleasedOnlyAfterItIsClosedAndDrained(t *testing.T) {
	b := newBench(t)
	b.member()
	self, _ := b.agent.Self()
	b.update(table.NewOwnershipSet(service, 0, table.NewMoving(self, 99, 5)))
	b.is.True(b.owns()) // until it is quiet
	b.step(NewShardDrained(service, 0, 5))
	b.is.Equal(len(b.agent.releases()), 0) // not closed yet
	b.step(NewShardQuiesced(service, 0, 5))
	b.is.True(!b.owns())
	b.step(NewShardDrained(service, 0, 5))
	r, ok := find[SendRenew](b)
	b.is.True(ok)
	b.is.Equal(len(r.Releases()), 1)
	b.update(table.NewOwnershipSet(service, 0, table.NewOwned(99, 6)))
	b.is.Equal(len(b.agent.releases()), 0)
}

func TestMoveThatIsOverInTheSameUpdateIsNotFollowed(t *testing.T) {
	b := newBench(t)
	b.member()
	self, _ := b.agent.Self()
	b.update(table.NewOwnershipSet(service, 0, table.NewMoving(self, 99, 5)),
		table.NewOwnershipSet(service, 0, table.NewOwned(self, 6)))
	_, awaits := find[AwaitQuiesced](b)
	b.is.True(!awaits)
	b.is.True(b.owns())
}

func TestStopWaitsUntilTheOthersKnow(t *testing.T) {
	b := newBench(t)
	b.member()
	self, _ := b.agent.Self()
	b.step(StopRequested{})
	_, leaves := find[SendLeave](b)
	b.is.True(leaves)
	m, _ := b.agent.Table().Member(self)
	b.update(table.NewMemberSet(m.WithPhase(table.Leaving{})), table.NewOwnershipSet(service, 0, table.NewOwned(99, 6)))
	b.step(AllDrained{})
	_, gone := find[SendGone](b)
	b.is.True(gone)
	_, early := find[Stopped](b)
	b.is.True(!early)
	b.update(table.NewMemberRemoved(self))
	_, stopped := find[Stopped](b)
	b.is.True(stopped)
}
