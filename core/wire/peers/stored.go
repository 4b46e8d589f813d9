package peers

import (
	"google.golang.org/protobuf/proto"

	"verbenabank/core/state/peer"
	"verbenabank/core/wire/wirepb"
)

// MarshalBatch returns the log record for the hard state and the entries of a batch. The snapshot
// and the sequence number of the batch are not part of it.
func MarshalBatch(b peer.Batch) ([]byte, error) {
	h := b.HardState()
	return marshal("encode batch", &wirepb.StoredBatch{
		Id: uint64(h.ID()), Group: uint64(h.Group()), Term: uint64(h.Term()), Vote: uint64(h.Vote()),
		Commit: uint64(h.Commit()), Entries: encodeEntries(b.Entries()),
	})
}

// UnmarshalBatch returns the batch of a log record. Its sequence number is 0 and its snapshot is
// empty.
func UnmarshalBatch(data []byte) (peer.Batch, error) {
	p := &wirepb.StoredBatch{}
	if err := unmarshal("decode batch", data, p); err != nil {
		return peer.Batch{}, err
	}
	if err := checkRange("decode batch", p.GetTerm(), p.GetCommit()); err != nil {
		return peer.Batch{}, err
	}
	entries, err := decodeEntries(p.GetEntries())
	if err != nil {
		return peer.Batch{}, err
	}
	h := peer.NewHardState(peer.ID(p.GetId()), peer.Group(p.GetGroup()), peer.Term(p.GetTerm()),
		peer.ID(p.GetVote()), peer.Index(p.GetCommit()))
	return peer.NewBatch(0, h, peer.Snapshot{}, entries), nil
}

// MarshalSnapshot returns the record for the snapshot file.
func MarshalSnapshot(s peer.Snapshot) ([]byte, error) {
	return marshal("encode snapshot", &wirepb.StoredSnapshot{
		Index: uint64(s.Index()), Term: uint64(s.Term()), Members: encodeMembers(s.Members()), Data: s.Data(),
	})
}

// UnmarshalSnapshot returns the snapshot of a record. It fails if the record has no voter.
func UnmarshalSnapshot(data []byte) (peer.Snapshot, error) {
	p := &wirepb.StoredSnapshot{}
	if err := unmarshal("decode snapshot", data, p); err != nil {
		return peer.Snapshot{}, err
	}
	if err := checkRange("decode snapshot", p.GetTerm(), p.GetIndex()); err != nil {
		return peer.Snapshot{}, err
	}
	m, err := decodeMembers(p.GetMembers())
	if err != nil {
		return peer.Snapshot{}, err
	}
	return peer.NewSnapshot(peer.Index(p.GetIndex()), peer.Term(p.GetTerm()), m, p.GetData()), nil
}

func marshal(operation string, m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, &Error{operation: operation, kind: Malformed, cause: err}
	}
	return data, nil
}

func unmarshal(operation string, data []byte, m proto.Message) error {
	if err := proto.Unmarshal(data, m); err != nil {
		return &Error{operation: operation, kind: Malformed, cause: err}
	}
	return nil
}
