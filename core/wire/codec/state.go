package codec

import (
	"google.golang.org/protobuf/proto"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
	"verbenabank/core/wire/wirepb"
)

// EncodeStateMessage returns the message for the replicated state, with the audit records only if
// audit is set.
func EncodeStateMessage(f *fleet.State, audit bool) *wirepb.Snapshot {
	m := &wirepb.Snapshot{
		Index:        f.Index(),
		TableVersion: f.Table().Version(),
		Changes:      EncodeChanges(f.Table().Changes()),
		Origin:       &wirepb.Proposal{Instance: f.Origin().Instance(), Folder: f.Origin().Folder()},
		NextOverride: uint32(f.NextOverride()),
		Zones:        encodeZones(f.Zones()),
	}
	for _, k := range f.AcceptedVersions() {
		m.Accepted = append(m.Accepted, &wirepb.Configuration{Version: k.Version(), Digest: k.Digest()})
	}
	if !audit {
		return m
	}
	for _, r := range f.Audit() {
		m.Audit = append(m.Audit, &wirepb.AuditRecord{
			Index: r.Index(), UnixMs: int64(r.Timestamp()), Author: r.Author(), Subject: r.Subject(),
			From: r.From(), To: r.To(), Outcome: r.Outcome(),
		})
	}
	return m
}

// EncodeState returns a snapshot of the replicated state, audit records included.
func EncodeState(f *fleet.State) ([]byte, error) {
	b, err := proto.Marshal(EncodeStateMessage(f, true))
	if err != nil {
		return nil, newError("state", Malformed, err)
	}
	return b, nil
}

// DecodeState restores the replicated state from a snapshot.
func (c *Codec) DecodeState(data []byte) (*fleet.State, error) {
	var m wirepb.Snapshot
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, newError("state", Malformed, err)
	}
	return c.DecodeStateMessage(&m)
}

// DecodeStateMessage returns the replicated state of a message.
func (c *Codec) DecodeStateMessage(m *wirepb.Snapshot) (*fleet.State, error) {
	changes, err := c.DecodeChanges(m.GetChanges())
	if err != nil {
		return nil, err
	}
	var accepted []fleet.AcceptedVersion
	for _, k := range m.GetAccepted() {
		accepted = append(accepted, fleet.NewAcceptedVersion(k.GetVersion(), k.GetDigest()))
	}
	t := table.Empty().With(m.GetTableVersion(), changes...)
	return fleet.New(
		fleet.WithAccepted(accepted...),
		fleet.WithIndex(m.GetIndex()),
		fleet.WithTable(t),
		fleet.WithZones(decodeZones(m.GetZones(), t)...),
		fleet.WithOrigin(fleet.NewOrigin(m.GetOrigin().GetInstance(), m.GetOrigin().GetFolder())),
		fleet.WithRecords(decodeAuditRecords(m.GetAudit())...),
		fleet.WithNextOverride(table.Shard(m.GetNextOverride())),
	), nil
}

func decodeAuditRecords(messages []*wirepb.AuditRecord) []fleet.Record {
	list := make([]fleet.Record, 0, len(messages))
	for _, r := range messages {
		list = append(list, fleet.NewRecord(r.GetIndex(), logcmd.Timestamp(r.GetUnixMs()), r.GetAuthor(),
			r.GetSubject(), r.GetFrom(), r.GetTo(), r.GetOutcome()))
	}
	return list
}

// EncodeVerdict returns the message for the verdict on a proposal. It reports the rules in force
// in f and the instance and folder that they come from.
func EncodeVerdict(v fleet.Verdict, f *fleet.State) *wirepb.Verdict {
	m := &wirepb.Verdict{
		Version: f.Table().Rules().Version(), Digest: f.Table().Rules().Digest(),
		FirstInstance: f.Origin().Instance(), FirstFolder: f.Origin().Folder(),
	}
	switch v := v.(type) {
	case fleet.Accepted:
		m.Code = wirepb.VerdictCode_VERDICT_CODE_ACCEPTED
	case fleet.Repeated:
		m.Code = wirepb.VerdictCode_VERDICT_CODE_REPEATED
	case fleet.Conflict:
		m.Code = wirepb.VerdictCode_VERDICT_CODE_CONFLICT
	case fleet.Older:
		m.Code = wirepb.VerdictCode_VERDICT_CODE_OLDER
	case fleet.Invalid:
		m.Code, m.Message = wirepb.VerdictCode_VERDICT_CODE_INVALID, v.Problem()
	}
	return m
}

// DecodeVerdict returns the verdict on a proposal, and whether the proposal was decided.
func DecodeVerdict(m *wirepb.Verdict) (fleet.Verdict, bool) {
	switch m.GetCode() {
	case wirepb.VerdictCode_VERDICT_CODE_ACCEPTED:
		return fleet.Accepted{}, true
	case wirepb.VerdictCode_VERDICT_CODE_REPEATED:
		return fleet.Repeated{}, true
	case wirepb.VerdictCode_VERDICT_CODE_CONFLICT:
		return fleet.NewConflict(m.GetDigest(), fleet.NewOrigin(m.GetFirstInstance(), m.GetFirstFolder())), true
	case wirepb.VerdictCode_VERDICT_CODE_OLDER:
		return fleet.NewOlder(m.GetVersion()), true
	case wirepb.VerdictCode_VERDICT_CODE_INVALID:
		return fleet.NewInvalid(m.GetMessage()), true
	case wirepb.VerdictCode_VERDICT_CODE_UNDECIDED, wirepb.VerdictCode_VERDICT_CODE_UNSPECIFIED:
	}
	return nil, false
}
