package apply

import (
	"fmt"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

func (s *step) grant(c logcmd.Grant) {
	h, ok := s.table().Ownership(c.Service(), c.Shard()).(table.Vacant)
	if !ok {
		s.reject("grant", WrongHolding)
		return
	}
	if h.Epoch() != c.Epoch() {
		s.reject("grant", StaleEpoch)
		return
	}
	if !s.canOwn("grant", c.Service(), c.Owner()) {
		return
	}
	s.hold(c.Service(), c.Shard(), table.NewOwned(c.Owner(), h.Epoch()+1))
	s.moved(c.Service(), c.Shard(), "", s.instance(c.Owner()), "granted", h.Epoch()+1)
}

func (s *step) move(c logcmd.Move) {
	h, ok := s.table().Ownership(c.Service(), c.Shard()).(table.Owned)
	if !ok || h.Owner() == c.Successor() {
		s.reject("move", WrongHolding)
		return
	}
	if h.Epoch() != c.Epoch() {
		s.reject("move", StaleEpoch)
		return
	}
	if !s.canOwn("move", c.Service(), c.Successor()) {
		return
	}
	s.hold(c.Service(), c.Shard(), table.NewMoving(h.Owner(), c.Successor(), h.Epoch()))
}

// release makes the successor of a moving shard its owner, or leaves the shard
// vacant if the successor is about to leave too.
func (s *step) release(c logcmd.Release) {
	h, ok := s.table().Ownership(c.Service(), c.Shard()).(table.Moving)
	if !ok {
		s.reject("release", WrongHolding)
		return
	}
	if h.Epoch() != c.Epoch() {
		s.reject("release", StaleEpoch)
		return
	}
	m, ok := s.table().Member(h.To())
	if _, leaving := m.Phase().(table.Leaving); !ok || leaving {
		s.hold(c.Service(), c.Shard(), table.NewVacant(h.Epoch()))
		return
	}
	s.hold(c.Service(), c.Shard(), table.NewOwned(h.To(), h.Epoch()+1))
	s.moved(c.Service(), c.Shard(), s.instance(h.From()), m.Instance(), "moved", h.Epoch()+1)
}

// place gives a key its own shard, first owned by the owner of its hash range.
func (s *step) place(c logcmd.AddOverride) {
	count, ok := s.shards(c.Service())
	if !ok {
		s.reject("place", NotKeyed)
		return
	}
	base := table.HashShard(c.Key(), count)
	if s.table().ShardOf(c.Service(), c.Key(), count) != base {
		s.reject("place", IsPlaced)
		return
	}
	h, ok := s.table().Ownership(c.Service(), base).(table.Owned)
	if !ok {
		s.reject("place", WrongHolding)
		return
	}
	alone := s.fleet.NextOverride()
	s.change(table.NewOverrideSet(c.Service(), c.Key(), alone))
	s.hold(c.Service(), alone, table.NewOwned(h.Owner(), 1))
	s.options = append(s.options, withNext(alone+1))
	s.record(fleet.Control, "key "+c.Service()+"/"+c.Key(), "", fmt.Sprint(alone), "placed alone")
}

// unplace returns a key to its hash range, if both have the same owner.
func (s *step) unplace(c logcmd.RemoveOverride) {
	count, ok := s.shards(c.Service())
	if !ok {
		s.reject("unplace", NotKeyed)
		return
	}
	base := table.HashShard(c.Key(), count)
	alone := s.table().ShardOf(c.Service(), c.Key(), count)
	if alone == base {
		s.reject("unplace", NotPlaced)
		return
	}
	a, ok := s.table().Ownership(c.Service(), alone).(table.Owned)
	b, same := s.table().Ownership(c.Service(), base).(table.Owned)
	if !ok || !same || a.Owner() != b.Owner() {
		s.reject("unplace", Apart)
		return
	}
	s.change(table.NewOverrideRemoved(c.Service(), c.Key()))
	s.record(fleet.Control, "key "+c.Service()+"/"+c.Key(), fmt.Sprint(alone), "", "returned to its range")
}

// canOwn reports whether a member may take a shard of the service, and rejects
// the command if not.
func (s *step) canOwn(op, service string, i table.Incarnation) bool {
	m, ok := s.table().Member(i)
	if !ok {
		s.reject(op, UnknownMember)
		return false
	}
	if m.Service() != service {
		s.reject(op, WrongService)
		return false
	}
	if _, leaving := m.Phase().(table.Leaving); leaving {
		s.reject(op, MemberLeaving)
		return false
	}
	return true
}

func (s *step) instance(i table.Incarnation) string {
	m, _ := s.table().Member(i)
	return m.Instance()
}

func (s *step) moved(service string, sh table.Shard, from, to, outcome string, e table.Epoch) {
	s.record(fleet.Control, fmt.Sprintf("shard %s/%d", service, sh), from, to, fmt.Sprintf("%s at epoch %d", outcome, e))
}
