package codec

import (
	"google.golang.org/protobuf/proto"

	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
	"verbenabank/core/wire/wirepb"
)

// EncodeCommand returns the payload of the log entry for a command that was proposed at the
// timestamp.
func EncodeCommand(c logcmd.Command, timestamp logcmd.Timestamp) ([]byte, error) {
	m := encodeCommandMessage(c)
	m.UnixMs = int64(timestamp)
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, newError("command", Malformed, err)
	}
	return b, nil
}

func encodeCommandMessage(c logcmd.Command) *wirepb.Command {
	switch c := c.(type) {
	case logcmd.Join:
		return &wirepb.Command{Command: &wirepb.Command_Join{Join: encodeJoin(c.Member(), 0)}}
	case logcmd.Expire:
		e := &wirepb.Expire{Incarnation: uint64(c.Incarnation()), Cause: string(c.Cause())}
		return &wirepb.Command{Command: &wirepb.Command_Expire{Expire: e}}
	case logcmd.SetPhase:
		p := &wirepb.PhaseChange{Incarnation: uint64(c.Incarnation()), Phase: encodePhase(c.Phase()), TargetLeft: c.TargetLeft()}
		return &wirepb.Command{Command: &wirepb.Command_Phase{Phase: p}}
	case logcmd.Grant:
		g := &wirepb.Grant{Service: c.Service(), Shard: uint32(c.Shard()), Epoch: uint64(c.Epoch()), Owner: uint64(c.Owner())}
		return &wirepb.Command{Command: &wirepb.Command_Grant{Grant: g}}
	case logcmd.Move:
		v := &wirepb.Move{Service: c.Service(), Shard: uint32(c.Shard()), Epoch: uint64(c.Epoch()), Successor: uint64(c.Successor())}
		return &wirepb.Command{Command: &wirepb.Command_Move{Move: v}}
	case logcmd.Release:
		return &wirepb.Command{Command: &wirepb.Command_Release{Release: encodeRelease(c)}}
	case logcmd.SetRules:
		return &wirepb.Command{Command: &wirepb.Command_Accept{Accept: EncodeProposal(c)}}
	case logcmd.GrantSpan:
		g := &wirepb.SpanRecord{Service: c.Service(), First: uint32(c.First()), Last: uint32(c.Last()), Owner: uint64(c.Owner())}
		return &wirepb.Command{Command: &wirepb.Command_GrantSpan{GrantSpan: g}}
	case logcmd.MoveSpan:
		v := &wirepb.SpanRecord{
			Service: c.Service(), First: uint32(c.First()), Last: uint32(c.Last()),
			Epoch: uint64(c.Epoch()), Successor: uint64(c.Successor()),
		}
		return &wirepb.Command{Command: &wirepb.Command_MoveSpan{MoveSpan: v}}
	case logcmd.ReleaseSpan:
		return &wirepb.Command{Command: &wirepb.Command_ReleaseSpan{ReleaseSpan: encodeSpanRelease(c)}}
	case logcmd.AddOverride:
		return encodeOverrideCommand(&wirepb.OverrideRecord{Service: c.Service(), Key: c.Key()})
	case logcmd.RemoveOverride:
		return encodeOverrideCommand(&wirepb.OverrideRecord{Service: c.Service(), Key: c.Key(), Gone: true})
	case logcmd.SetZoneDrain:
		return &wirepb.Command{Command: &wirepb.Command_ZoneDrain{ZoneDrain: EncodeZoneDrain(c)}}
	}
	return nil
}

func encodeOverrideCommand(r *wirepb.OverrideRecord) *wirepb.Command {
	return &wirepb.Command{Command: &wirepb.Command_Override{Override: r}}
}

func encodeRelease(r logcmd.Release) *wirepb.Release {
	return &wirepb.Release{Service: r.Service(), Shard: uint32(r.Shard()), Epoch: uint64(r.Epoch())}
}

func decodeRelease(r *wirepb.Release) logcmd.Release {
	return logcmd.NewRelease(r.GetService(), table.Shard(r.GetShard()), table.Epoch(r.GetEpoch()))
}

func encodeSpanRelease(r logcmd.ReleaseSpan) *wirepb.SpanRecord {
	return &wirepb.SpanRecord{
		Service: r.Service(), First: uint32(r.First()), Last: uint32(r.Last()), Epoch: uint64(r.Epoch()), Handover: r.Handover(),
	}
}

func decodeSpanRelease(r *wirepb.SpanRecord) logcmd.ReleaseSpan {
	return logcmd.NewReleaseSpan(r.GetService(), table.Key(r.GetFirst()), table.Key(r.GetLast()),
		table.Epoch(r.GetEpoch()), r.GetHandover())
}

// EncodeProposal returns the message that proposes rules. Base is significant only if bound is
// set: the rules of version 0 are none.
func EncodeProposal(c logcmd.SetRules) *wirepb.Proposal {
	base, bound := c.BaseVersion()
	return &wirepb.Proposal{
		Configuration: EncodeRules(c.Rules()), Instance: c.Instance(), Folder: c.Folder(), Base: base, Bound: bound,
	}
}

// DecodeProposal returns the command of a proposal. It fails where DecodeRules does.
func (c *Codec) DecodeProposal(m *wirepb.Proposal) (logcmd.SetRules, error) {
	r, err := c.DecodeRules(m.GetConfiguration())
	s := logcmd.NewSetRules(r, m.GetInstance(), m.GetFolder())
	if m.GetBound() {
		s = s.WithBaseVersion(m.GetBase())
	}
	return s, err
}

// DecodeCommand returns the command in the payload of a log entry, and the time at which it
// was proposed.
func (c *Codec) DecodeCommand(data []byte) (logcmd.Command, logcmd.Timestamp, error) {
	var m wirepb.Command
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, 0, newError("command", Malformed, err)
	}
	d, err := c.decodeCommandMessage(&m)
	return d, logcmd.Timestamp(m.GetUnixMs()), err
}

func (c *Codec) decodeCommandMessage(m *wirepb.Command) (logcmd.Command, error) {
	switch x := m.GetCommand().(type) {
	case *wirepb.Command_Join:
		return logcmd.NewJoin(decodeJoin(x.Join)), nil
	case *wirepb.Command_Expire:
		return logcmd.NewExpire(table.Incarnation(x.Expire.GetIncarnation()), logcmd.Cause(x.Expire.GetCause())), nil
	case *wirepb.Command_Phase:
		p, err := decodePhase(x.Phase.GetPhase())
		return logcmd.NewSetPhase(table.Incarnation(x.Phase.GetIncarnation()), p).WithTargetLeft(x.Phase.GetTargetLeft()), err
	case *wirepb.Command_Grant:
		g := x.Grant
		return logcmd.NewGrant(g.GetService(), table.Shard(g.GetShard()), table.Epoch(g.GetEpoch()), table.Incarnation(g.GetOwner())), nil
	case *wirepb.Command_Move:
		v := x.Move
		return logcmd.NewMove(v.GetService(), table.Shard(v.GetShard()), table.Epoch(v.GetEpoch()), table.Incarnation(v.GetSuccessor())), nil
	case *wirepb.Command_Release:
		return decodeRelease(x.Release), nil
	case *wirepb.Command_Accept:
		return c.DecodeProposal(x.Accept)
	case *wirepb.Command_GrantSpan:
		g := x.GrantSpan
		return logcmd.NewGrantSpan(g.GetService(), table.Key(g.GetFirst()), table.Key(g.GetLast()),
			table.Incarnation(g.GetOwner())), nil
	case *wirepb.Command_MoveSpan:
		v := x.MoveSpan
		return logcmd.NewMoveSpan(v.GetService(), table.Key(v.GetFirst()), table.Key(v.GetLast()),
			table.Epoch(v.GetEpoch()), table.Incarnation(v.GetSuccessor())), nil
	case *wirepb.Command_ReleaseSpan:
		return decodeSpanRelease(x.ReleaseSpan), nil
	case *wirepb.Command_Override:
		if x.Override.GetGone() {
			return logcmd.NewRemoveOverride(x.Override.GetService(), x.Override.GetKey()), nil
		}
		return logcmd.NewAddOverride(x.Override.GetService(), x.Override.GetKey()), nil
	case *wirepb.Command_ZoneDrain:
		return DecodeZoneDrain(x.ZoneDrain)
	}
	return nil, newError("command", Missing, nil)
}

func encodeJoin(m table.Member, group uint64) *wirepb.Join {
	return &wirepb.Join{
		Incarnation: uint64(m.Incarnation()), Instance: m.Instance(), Zone: m.Zone(),
		Address: m.Address(), Service: m.Service(), Group: group, Born: m.TargetStartTime(),
	}
}

func decodeJoin(j *wirepb.Join) table.Member {
	return table.NewMember(table.Incarnation(j.GetIncarnation()), j.GetInstance(), j.GetZone(),
		j.GetAddress(), j.GetService(), table.Warming{}).WithTargetStartTime(j.GetBorn())
}
