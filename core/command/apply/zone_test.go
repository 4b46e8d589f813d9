package apply

import (
	"testing"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

func (fx *fixture) setDrain(drained bool, base uint64) fleet.Verdict {
	for _, e := range fx.apply(logcmd.NewSetZoneDrain("z", drained, "i", base)) {
		if d, ok := e.(Decided); ok {
			return d.Verdict()
		}
	}
	return nil
}

// TestZoneDrainMayBeRepeated guards against operators' calls whose acknowledgement was lost, and that are refused or
// change more than the first time.
func TestZoneDrainMayBeRepeated(t *testing.T) {
	fx := newFixture(t)
	for _, drained := range []bool{true, false} {
		fx.is.Equal(fx.setDrain(drained, fx.index), fleet.Accepted{})
		before := fx.fleet.Table()
		fx.is.Equal(fx.setDrain(drained, 0), fleet.Repeated{})
		fx.is.Equal(fx.fleet.Table(), before)
		fx.is.Equal(before.ZoneDrained("z"), drained)
	}
}

// TestLateDrainDoesNotUndoItsEnd guards against a call that an instance repeats after the operator has drained the zone
// through another instance, and taken it back.
func TestLateDrainDoesNotUndoItsEnd(t *testing.T) {
	fx := newFixture(t)
	called := fx.index
	fx.is.Equal(fx.setDrain(true, called), fleet.Accepted{})
	fx.is.Equal(fx.setDrain(false, fx.index), fleet.Accepted{})
	fx.is.Equal(fx.setDrain(true, called), fleet.NewOlder(fx.index-1))
	fx.is.True(!fx.fleet.Table().ZoneDrained("z"))
	fx.is.Equal(fx.setDrain(true, fx.index), fleet.Accepted{})
}

// TestDrainedMembersGetNoKeys covers commands that were proposed before the drain was applied.
func TestDrainedMembersGetNoKeys(t *testing.T) {
	fx := newFixture(t)
	fx.applies(logcmd.NewMove(service, 0, 1, 8))
	fx.setDrain(true, fx.index)
	fx.rejects(logcmd.NewGrant(service, 1, 0, 7), ZoneDrained)
	fx.rejects(logcmd.NewGrantSpan(service, 0, 9, 7), ZoneDrained)
	fx.applies(logcmd.NewRelease(service, 0, 1))
	fx.is.Equal(fx.fleet.Table().Ownership(service, 0), table.NewVacant(1))
	_, stays := fx.fleet.Table().Member(8)
	fx.is.True(stays)
}

// TestMembersWarmUpAfterTheDrain has members that serve, warm up and leave when their zone is taken back.
func TestMembersWarmUpAfterTheDrain(t *testing.T) {
	fx := newFixture(t)
	fx.applies(logcmd.NewSetPhase(8, table.Leaving{}))
	fx.setDrain(true, fx.index)
	fx.setDrain(false, fx.index)
	for i, want := range map[table.Incarnation]table.Phase{7: table.Warming{}, 8: table.Leaving{}} {
		m, _ := fx.fleet.Table().Member(i)
		fx.is.Equal(m.Phase(), want)
	}
}

// TestZonesAreRememberedWithoutMembers guards against an operator who can't drain a zone that has lost all its members.
func TestZonesAreRememberedWithoutMembers(t *testing.T) {
	fx := newFixture(t)
	fx.applies(logcmd.NewExpire(7, logcmd.LeaseExpired))
	fx.applies(logcmd.NewExpire(8, logcmd.LeaseExpired))
	_, known := fx.fleet.Zone("z")
	fx.is.True(known)
	_, known = fx.fleet.Zone("y")
	fx.is.True(!known)
}
