package apply

import (
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// setZoneDrain drains a zone or ends its drain. A repeated command changes nothing, so that operators may repeat it.
// Members that get requests and keys again warm up, as those that join do.
func (t *transition) setZoneDrain(c logcmd.SetZoneDrain) {
	author, subject := c.Instance()+":operator", "zone "+c.Zone()
	from, to := drainLabel(t.table().ZoneDrained(c.Zone())), drainLabel(c.Drained())
	last, _ := t.fleet.Zone(c.Zone())
	if t.table().ZoneDrained(c.Zone()) == c.Drained() {
		t.effects = append(t.effects, Decided{verdict: fleet.Repeated{}})
		t.record(author, subject, from, to, "accepted again")
		return
	}
	if last.DrainChanged() > c.Base() {
		t.effects = append(t.effects, Decided{verdict: fleet.NewOlder(last.DrainChanged())})
		t.record(author, subject, from, to, "ignored: a later order has been accepted")
		return
	}
	t.effects = append(t.effects, Decided{verdict: fleet.Accepted{}})
	t.options = append(t.options, fleet.WithZones(fleet.NewZone(c.Zone(), t.index)))
	t.change(table.NewZoneDrainSet(c.Zone(), c.Drained()))
	t.record(author, subject, from, to, "accepted")
	if c.Drained() {
		return
	}
	for _, m := range t.table().MembersIn(c.Zone()) {
		if _, serving := m.Phase().(table.Serving); serving {
			t.change(table.NewMemberSet(m.WithPhase(table.Warming{})))
		}
	}
}

func drainLabel(drained bool) string {
	if drained {
		return "drained"
	}
	return "in service"
}

// mayOwn reports whether a member may get keys: it isn't leaving, nor is its zone drained.
func (t *transition) mayOwn(m table.Member) bool {
	_, leaving := m.Phase().(table.Leaving)
	return !leaving && !t.table().ZoneDrained(m.Zone())
}
