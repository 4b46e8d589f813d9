package apply

import (
	"fmt"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

func (s *step) join(c logcmd.Join) {
	m := c.Member()
	if _, ok := s.table().Member(m.Incarnation()); ok {
		s.reject("join", KnownMember)
		return
	}
	s.change(table.NewMemberSet(m))
	s.record(fleet.Control, "member "+m.Instance(), "", incarnation(m.Incarnation()), "joined")
	s.succeed(m)
}

// succeed ends earlier lives of the target beside a daemon: one process of it runs at a time.
func (s *step) succeed(m table.Member) {
	for _, o := range s.table().Members() {
		if o.Instance() == m.Instance() && o.Incarnation() != m.Incarnation() && o.TargetStartTime() > 0 && o.TargetStartTime() < m.TargetStartTime() {
			s.end(o, logcmd.TargetRestarted)
		}
	}
}

func (s *step) setPhase(c logcmd.SetPhase) {
	m, ok := s.table().Member(c.Incarnation())
	if !ok {
		s.reject("set phase", UnknownMember)
		return
	}
	if _, ok := m.Phase().(table.Leaving); ok {
		s.reject("set phase", MemberLeaving)
		return
	}
	next := m.WithPhase(c.Phase())
	s.change(table.NewMemberSet(next))
	s.record(fleet.Control, "member "+m.Instance(), table.PhaseName(m.Phase()), table.PhaseName(next.Phase()), "changed")
}

// expire removes a member. What it held is vacant; what was on its way to it
// stays with its owner under the next epoch, so that a release under way is void.
func (s *step) expire(c logcmd.Expire) {
	gone := c.Incarnation()
	m, ok := s.table().Member(gone)
	if !ok {
		s.reject("expire", UnknownMember)
		return
	}
	s.end(m, c.Cause())
}

// end removes a member and what it held.
func (s *step) end(m table.Member, cause logcmd.Cause) {
	gone := m.Incarnation()
	for _, v := range s.table().Services() {
		for _, sh := range s.table().Shards(v) {
			s.expireShard(v, sh, gone)
		}
		s.expireSpans(v, gone)
	}
	s.change(table.NewMemberRemoved(gone))
	s.record(fleet.Control, "member "+m.Instance(), incarnation(gone), "", string(cause))
}

func (s *step) expireShard(service string, sh table.Shard, gone table.Incarnation) {
	switch h := s.table().Ownership(service, sh).(type) {
	case table.Vacant:
	case table.Owned:
		if h.Owner() == gone {
			s.hold(service, sh, table.NewVacant(h.Epoch()))
		}
	case table.Moving:
		switch gone {
		case h.From():
			s.hold(service, sh, table.NewVacant(h.Epoch()))
		case h.To():
			s.hold(service, sh, table.NewOwned(h.From(), h.Epoch()+1))
		}
	}
}

func incarnation(i table.Incarnation) string { return fmt.Sprintf("%016x", uint64(i)) }
