package apply

import (
	"fmt"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

func (t *transition) join(c logcmd.Join) {
	m := c.Member()
	if _, ok := t.table().Member(m.Incarnation()); ok {
		t.reject("join", AlreadyMember)
		return
	}
	if t.table().HasLeft(m.Instance(), m.TargetStartTime()) {
		t.reject("join", TargetHasLeft)
		return
	}
	t.change(table.NewMemberSet(m))
	if _, known := t.fleet.Zone(m.Zone()); !known {
		t.options = append(t.options, fleet.WithZones(fleet.NewZone(m.Zone(), 0)))
	}
	t.record(fleet.Control, "member "+m.Instance(), "", formatIncarnation(m.Incarnation()), "joined")
	t.removePredecessors(m)
}

// removePredecessors removes earlier incarnations of the same instance, since only one process of
// an instance's target runs at a time.
func (t *transition) removePredecessors(m table.Member) {
	for _, o := range t.table().Members() {
		if o.Precedes(m) {
			t.removeMember(o, logcmd.TargetRestarted)
		}
	}
}

func (t *transition) setPhase(c logcmd.SetPhase) {
	m, ok := t.table().Member(c.Incarnation())
	if !ok {
		t.reject("set phase", UnknownMember)
		return
	}
	recorded := c.TargetLeft() && t.recordTargetLeft(m)
	if _, ok := m.Phase().(table.Leaving); ok {
		if !recorded {
			t.reject("set phase", MemberLeaving)
		}
		return
	}
	next := m.WithPhase(c.Phase())
	t.change(table.NewMemberSet(next))
	t.record(fleet.Control, "member "+m.Instance(), table.PhaseName(m.Phase()), table.PhaseName(next.Phase()), "changed")
}

// recordTargetLeft records that the target of a member has said that it stops. It reports false if that is
// known, or the start time of the target isn't.
func (t *transition) recordTargetLeft(m table.Member) bool {
	left, news := t.table().TargetLeaves(m)
	if !news {
		return false
	}
	t.change(left)
	t.record(fleet.Control, "target of "+m.Instance(), "", "", "said that it stops")
	return true
}

// expire removes a member. What it owned becomes vacant. What was moving to it stays with its
// owner under the next epoch, so that a release in flight is rejected.
func (t *transition) expire(c logcmd.Expire) {
	gone := c.Incarnation()
	m, ok := t.table().Member(gone)
	if !ok {
		t.reject("expire", UnknownMember)
		return
	}
	t.removeMember(m, c.Cause())
}

// removeMember removes a member and its ownership of shards and spans.
func (t *transition) removeMember(m table.Member, cause logcmd.Cause) {
	gone := m.Incarnation()
	for _, v := range t.table().Services() {
		for _, sh := range t.table().Shards(v) {
			t.vacateShard(v, sh, gone)
		}
		t.vacateSpans(v, gone)
	}
	t.change(table.NewMemberRemoved(gone))
	t.record(fleet.Control, "member "+m.Instance(), formatIncarnation(gone), "", string(cause))
}

func (t *transition) vacateShard(service string, sh table.Shard, gone table.Incarnation) {
	switch h := t.table().Ownership(service, sh).(type) {
	case table.Vacant:
	case table.Owned:
		if h.Owner() == gone {
			t.setOwnership(service, sh, table.NewVacant(h.Epoch()))
		}
	case table.Moving:
		switch gone {
		case h.From():
			t.setOwnership(service, sh, table.NewVacant(h.Epoch()))
		case h.To():
			t.setOwnership(service, sh, table.NewOwned(h.From(), h.Epoch()+1))
		}
	}
}

func formatIncarnation(i table.Incarnation) string { return fmt.Sprintf("%016x", uint64(i)) }
