package codec

import (
	"google.golang.org/protobuf/proto"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
	"verbenabank/core/wire/wirepb"
)

// EncodeStateMessage returns the message of the fleet state, with the audit trail if
// audit is set.
func EncodeStateMessage(f *fleet.State, audit bool) *wirepb.Snapshot {
	m := &wirepb.Snapshot{
		Index:        f.Index(),
		TableVersion: f.Table().Version(),
		Changes:      EncodeChanges(f.Table().Changes()),
		Origin:       &wirepb.Proposal{Instance: f.Origin().Instance(), Folder: f.Origin().Folder()},
		NextOverride: uint32(f.NextOverride()),
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

// EncodeState returns the snapshot of the fleet state.
func EncodeState(f *fleet.State) ([]byte, error) {
	b, err := proto.Marshal(EncodeStateMessage(f, true))
	if err != nil {
		return nil, fail("state", Unreadable, err)
	}
	return b, nil
}

// DecodeState returns the fleet state of a snapshot.
func (c *Codec) DecodeState(data []byte) (*fleet.State, error) {
	var m wirepb.Snapshot
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fail("state", Unreadable, err)
	}
	return c.DecodeStateMessage(&m)
}

// DecodeStateMessage returns the fleet state of a message.
func (c *Codec) DecodeStateMessage(m *wirepb.Snapshot) (*fleet.State, error) {
	changes, err := c.DecodeChanges(m.GetChanges())
	if err != nil {
		return nil, err
	}
	var marks []fleet.AcceptedVersion
	for _, k := range m.GetAccepted() {
		marks = append(marks, fleet.NewAcceptedVersion(k.GetVersion(), k.GetDigest()))
	}
	return fleet.New(
		fleet.WithAccepted(marks...),
		fleet.WithIndex(m.GetIndex()),
		fleet.WithTable(table.Empty().With(m.GetTableVersion(), changes...)),
		fleet.WithOrigin(fleet.NewOrigin(m.GetOrigin().GetInstance(), m.GetOrigin().GetFolder())),
		fleet.WithRecords(decodeRecords(m.GetAudit())...),
		fleet.WithNextOverride(table.Shard(m.GetNextOverride())),
	), nil
}

func decodeRecords(messages []*wirepb.AuditRecord) []fleet.Record {
	list := make([]fleet.Record, 0, len(messages))
	for _, r := range messages {
		list = append(list, fleet.NewRecord(r.GetIndex(), logcmd.Timestamp(r.GetUnixMs()), r.GetAuthor(),
			r.GetSubject(), r.GetFrom(), r.GetTo(), r.GetOutcome()))
	}
	return list
}

// EncodeVerdict returns the message of a verdict, given the rules in force.
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

// DecodeVerdict reads what became of an offer, and whether it was decided.
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
