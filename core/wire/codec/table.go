package codec

import (
	"verbenabank/core/state/table"
	"verbenabank/core/wire/wirepb"
)

// EncodeChanges returns the messages for changes of the routing table.
func EncodeChanges(changes []table.Change) []*wirepb.TableChange {
	list := make([]*wirepb.TableChange, 0, len(changes))
	for _, c := range changes {
		list = append(list, encodeChange(c))
	}
	return list
}

func encodeChange(c table.Change) *wirepb.TableChange {
	switch c := c.(type) {
	case table.RulesSet:
		return &wirepb.TableChange{Change: &wirepb.TableChange_Rules{Rules: EncodeRules(c.Rules())}}
	case table.MemberSet:
		return &wirepb.TableChange{Change: &wirepb.TableChange_Member{Member: encodeMember(c.Member())}}
	case table.MemberRemoved:
		return &wirepb.TableChange{Change: &wirepb.TableChange_Gone{Gone: uint64(c.Incarnation())}}
	case table.TargetLeft:
		return &wirepb.TableChange{Change: &wirepb.TableChange_TargetLeft{
			TargetLeft: &wirepb.TargetLeft{Instance: c.Instance(), Born: c.StartTime()},
		}}
	case table.OwnershipSet:
		return &wirepb.TableChange{Change: &wirepb.TableChange_Holding{Holding: encodeOwnership(c)}}
	case table.SpanSet:
		return &wirepb.TableChange{Change: &wirepb.TableChange_Span{Span: encodeSpan(c)}}
	case table.OverrideSet:
		return encodeOverrideChange(&wirepb.OverrideRecord{Service: c.Service(), Key: c.Key(), Shard: uint32(c.Shard())})
	case table.OverrideRemoved:
		return encodeOverrideChange(&wirepb.OverrideRecord{Service: c.Service(), Key: c.Key(), Gone: true})
	case table.ZoneDrainSet:
		return &wirepb.TableChange{Change: &wirepb.TableChange_ZoneDrain{ZoneDrain: &wirepb.ZoneDrain{Zone: c.Zone(), Drained: c.Drained()}}}
	}
	return nil
}

func encodeOverrideChange(r *wirepb.OverrideRecord) *wirepb.TableChange {
	return &wirepb.TableChange{Change: &wirepb.TableChange_Override{Override: r}}
}

func encodeOwnership(c table.OwnershipSet) *wirepb.HoldingRecord {
	r := &wirepb.HoldingRecord{Service: c.Service(), Shard: uint32(c.Shard()), Epoch: uint64(c.Ownership().Epoch())}
	switch h := c.Ownership().(type) {
	case table.Vacant:
	case table.Owned:
		r.Owner = uint64(h.Owner())
	case table.Moving:
		r.Owner, r.Successor = uint64(h.From()), uint64(h.To())
	}
	return r
}

func encodeSpan(c table.SpanSet) *wirepb.SpanRecord {
	s := c.Span()
	r := &wirepb.SpanRecord{
		Service: c.Service(), First: uint32(s.First()), Last: uint32(s.Last()), Epoch: uint64(s.Ownership().Epoch()),
	}
	switch h := s.Ownership().(type) {
	case table.Vacant:
	case table.Owned:
		r.Owner, r.Handover = uint64(h.Owner()), h.Handover()
	case table.Moving:
		r.Owner, r.Successor = uint64(h.From()), uint64(h.To())
	}
	return r
}

func decodeSpan(r *wirepb.SpanRecord) (table.Change, error) {
	if r.GetFirst() > r.GetLast() {
		return nil, newError("span", OutOfRange, nil)
	}
	owner, e := table.Incarnation(r.GetOwner()), table.Epoch(r.GetEpoch())
	var h table.Ownership = table.NewVacant(e)
	switch {
	case r.GetSuccessor() != 0:
		h = table.NewMoving(owner, table.Incarnation(r.GetSuccessor()), e)
	case r.GetOwner() != 0:
		h = table.NewOwned(owner, e).WithHandover(r.GetHandover())
	}
	return table.NewSpanSet(r.GetService(), table.NewSpan(table.Key(r.GetFirst()), table.Key(r.GetLast()), h)), nil
}

func encodeMember(m table.Member) *wirepb.MemberRecord {
	return &wirepb.MemberRecord{
		Incarnation: uint64(m.Incarnation()), Instance: m.Instance(), Zone: m.Zone(),
		Address: m.Address(), Service: m.Service(), Phase: encodePhase(m.Phase()), Born: m.TargetStartTime(),
	}
}

func encodePhase(p table.Phase) wirepb.PhaseCode {
	switch p.(type) {
	case table.Warming:
		return wirepb.PhaseCode_PHASE_CODE_WARMING
	case table.Serving:
		return wirepb.PhaseCode_PHASE_CODE_SERVING
	case table.Leaving:
		return wirepb.PhaseCode_PHASE_CODE_LEAVING
	}
	return wirepb.PhaseCode_PHASE_CODE_UNSPECIFIED
}

// DecodeChanges returns the changes of the routing table. It fails if one of them is invalid.
func (c *Codec) DecodeChanges(messages []*wirepb.TableChange) ([]table.Change, error) {
	list := make([]table.Change, 0, len(messages))
	for _, m := range messages {
		d, err := c.decodeChange(m)
		if err != nil {
			return nil, err
		}
		list = append(list, d)
	}
	return list, nil
}

func (c *Codec) decodeChange(m *wirepb.TableChange) (table.Change, error) {
	switch x := m.GetChange().(type) {
	case *wirepb.TableChange_Rules:
		r, err := c.DecodeRules(x.Rules)
		return table.NewRulesSet(r), err
	case *wirepb.TableChange_Member:
		d, err := decodeMember(x.Member)
		return table.NewMemberSet(d), err
	case *wirepb.TableChange_Gone:
		return table.NewMemberRemoved(table.Incarnation(x.Gone)), nil
	case *wirepb.TableChange_TargetLeft:
		if x.TargetLeft.GetBorn() == 0 {
			return nil, newError("target that left", Missing, nil)
		}
		return table.NewTargetLeft(x.TargetLeft.GetInstance(), x.TargetLeft.GetBorn()), nil
	case *wirepb.TableChange_Holding:
		h := x.Holding
		return table.NewOwnershipSet(h.GetService(), table.Shard(h.GetShard()), decodeOwnership(h)), nil
	case *wirepb.TableChange_Span:
		return decodeSpan(x.Span)
	case *wirepb.TableChange_Override:
		o := x.Override
		if o.GetGone() {
			return table.NewOverrideRemoved(o.GetService(), o.GetKey()), nil
		}
		return table.NewOverrideSet(o.GetService(), o.GetKey(), table.Shard(o.GetShard())), nil
	case *wirepb.TableChange_ZoneDrain:
		return table.NewZoneDrainSet(x.ZoneDrain.GetZone(), x.ZoneDrain.GetDrained()), nil
	}
	return nil, newError("table change", Missing, nil)
}

func decodeOwnership(h *wirepb.HoldingRecord) table.Ownership {
	owner, e := table.Incarnation(h.GetOwner()), table.Epoch(h.GetEpoch())
	switch {
	case h.GetSuccessor() != 0:
		return table.NewMoving(owner, table.Incarnation(h.GetSuccessor()), e)
	case h.GetOwner() != 0:
		return table.NewOwned(owner, e)
	}
	return table.NewVacant(e)
}

func decodeMember(m *wirepb.MemberRecord) (table.Member, error) {
	p, err := decodePhase(m.GetPhase())
	if m.GetIncarnation() == 0 {
		err = newError("member", Missing, nil)
	}
	return table.NewMember(table.Incarnation(m.GetIncarnation()), m.GetInstance(), m.GetZone(),
		m.GetAddress(), m.GetService(), p).WithTargetStartTime(m.GetBorn()), err
}

func decodePhase(p wirepb.PhaseCode) (table.Phase, error) {
	switch p {
	case wirepb.PhaseCode_PHASE_CODE_WARMING:
		return table.Warming{}, nil
	case wirepb.PhaseCode_PHASE_CODE_SERVING:
		return table.Serving{}, nil
	case wirepb.PhaseCode_PHASE_CODE_LEAVING:
		return table.Leaving{}, nil
	case wirepb.PhaseCode_PHASE_CODE_UNSPECIFIED:
	}
	return table.Warming{}, newError("phase", OutOfRange, nil)
}
