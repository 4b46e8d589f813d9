package apply

import (
	"testing"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

func (fx *fixture) setDrain(drained bool, base uint64) fleet.Verdict {
	e := fx.apply(logcmd.NewSetZoneDrain("z", drained, "i", base))
	return e[len(e)-1].(Decided).Verdict()
}

// TestOrdersForZones guards against calls whose acknowledgement was lost and that are refused or change more than the first
// time, and against a call that an instance repeats after the zone was drained through another one and taken back.
func TestOrdersForZones(t *testing.T) {
	fx := newFixture(t)
	called := fx.index
	fx.is.Equal(fx.setDrain(true, called), fleet.Accepted{})
	before := fx.fleet.Table()
	fx.is.Equal(fx.setDrain(true, called), fleet.Repeated{})
	fx.is.Equal(fx.fleet.Table(), before)
	fx.is.Equal(fx.setDrain(false, fx.index), fleet.Accepted{})
	fx.is.Equal(fx.setDrain(true, called), fleet.NewOlder(fx.index-1))
	fx.is.True(!fx.fleet.Table().ZoneDrained("z"))
}

// TestDrainedMembersGetNoKeys covers commands that were proposed before the drain, and members that are taken back: those
// that served warm up again.
func TestDrainedMembersGetNoKeys(t *testing.T) {
	fx := newFixture(t)
	fx.applies(logcmd.NewMove(service, 0, 1, 8))
	fx.applies(logcmd.NewSetPhase(7, table.Leaving{}))
	fx.setDrain(true, fx.index)
	fx.rejects(logcmd.NewGrant(service, 1, 0, 8), ZoneDrained)
	fx.rejects(logcmd.NewGrantSpan(service, 0, 9, 8), ZoneDrained)
	fx.applies(logcmd.NewRelease(service, 0, 1))
	fx.is.Equal(fx.fleet.Table().Ownership(service, 0), table.NewVacant(1))
	fx.setDrain(false, fx.index)
	for i, want := range map[table.Incarnation]table.Phase{7: table.Leaving{}, 8: table.Warming{}} {
		m, _ := fx.fleet.Table().Member(i)
		fx.is.Equal(m.Phase(), want)
	}
	fx.applies(logcmd.NewExpire(7, logcmd.LeaseExpired))
	fx.applies(logcmd.NewExpire(8, logcmd.LeaseExpired))
	_, known := fx.fleet.Zone("z") // an operator may drain a zone that has lost its power
	fx.is.True(known)
}
