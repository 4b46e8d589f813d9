package peers

import (
	"verbenabank/core/state/peer"
	"verbenabank/core/wire/wirepb"
)

// numberLimit is the exclusive upper bound of indices, terms and offsets. It rules out overflow
// when they are added.
const numberLimit = 1 << 62

// Decode returns the message of a replica. It fails for one that no correct replica sends: without
// a sender or a body, or with a number out of range. The byte slices of p are shared, not copied.
func Decode(p *wirepb.PeerMessage) (peer.Message, error) {
	if p.GetFrom() == 0 || p.GetTerm() >= numberLimit {
		return peer.Message{}, &Error{operation: "decode route", kind: OutOfRange}
	}
	b, err := decodeBody(p)
	if err != nil {
		return peer.Message{}, err
	}
	header := peer.NewHeader(peer.Group(p.GetGroup()), peer.ID(p.GetFrom()), p.GetAddress(), peer.ID(p.GetTo()))
	return peer.NewMessage(header, peer.Term(p.GetTerm()), b), nil
}

func decodeBody(p *wirepb.PeerMessage) (peer.Body, error) {
	switch b := p.GetMessage().(type) {
	case *wirepb.PeerMessage_VoteRequest:
		return decodeVoteRequest(b.VoteRequest)
	case *wirepb.PeerMessage_VoteReply:
		if b.VoteReply.GetPre() {
			return peer.NewPreVoteReply(b.VoteReply.GetGranted()), nil
		}
		return peer.NewVoteReply(b.VoteReply.GetGranted()), nil
	case *wirepb.PeerMessage_AppendRequest:
		return decodeAppend(b.AppendRequest)
	case *wirepb.PeerMessage_AppendReply:
		return decodeAppendReply(b.AppendReply)
	case *wirepb.PeerMessage_SnapshotChunk:
		return decodeChunk(b.SnapshotChunk)
	case *wirepb.PeerMessage_SnapshotReply:
		r := b.SnapshotReply
		if err := checkRange("decode snapshot reply", r.GetIndex(), r.GetNextOffset()); err != nil {
			return nil, err
		}
		return peer.NewSnapshotReply(peer.Index(r.GetIndex()), r.GetNextOffset(), r.GetRound()), nil
	case *wirepb.PeerMessage_Hello:
		return peer.NewHello(b.Hello.GetNonce(), b.Hello.GetEcho()), nil
	case *wirepb.PeerMessage_HelloReply:
		r := b.HelloReply
		return peer.NewHelloReply(r.GetNonce(), r.GetEcho(), r.GetKnown(), r.GetVoter()).WithLeader(r.GetLeader()), nil
	case *wirepb.PeerMessage_Form:
		m, err := decodeMembers(b.Form.GetMembers())
		return peer.NewBootstrap(m, b.Form.GetEcho()), err
	case *wirepb.PeerMessage_TimeoutNow:
		return peer.TimeoutNow{}, nil
	}
	return nil, &Error{operation: "decode message", kind: Missing}
}

func decodeVoteRequest(r *wirepb.VoteRequest) (peer.Body, error) {
	if err := checkRange("decode vote request", r.GetLastIndex(), r.GetLastTerm()); err != nil {
		return nil, err
	}
	i, t := peer.Index(r.GetLastIndex()), peer.Term(r.GetLastTerm())
	if r.GetPre() {
		return peer.NewPreVoteRequest(i, t), nil
	}
	return peer.NewVoteRequest(i, t, r.GetTransfer()), nil
}

func decodeAppend(r *wirepb.AppendRequest) (peer.Body, error) {
	if err := checkRange("decode append request", r.GetPreviousIndex(), r.GetPreviousTerm(), r.GetCommit()); err != nil {
		return nil, err
	}
	entries, err := decodeEntries(r.GetEntries())
	if err != nil {
		return nil, err
	}
	return peer.NewAppendRequest(peer.Index(r.GetPreviousIndex()), peer.Term(r.GetPreviousTerm()),
		peer.Index(r.GetCommit()), r.GetRound(), entries), nil
}

func decodeAppendReply(r *wirepb.AppendReply) (peer.Body, error) {
	if err := checkRange("decode append reply", r.GetMatch(), r.GetHint()); err != nil {
		return nil, err
	}
	if r.GetAccepted() {
		return peer.NewAppendAccepted(peer.Index(r.GetMatch()), r.GetRound()), nil
	}
	return peer.NewAppendRejected(peer.Index(r.GetMatch()), peer.Index(r.GetHint()), r.GetRound()), nil
}

func decodeChunk(c *wirepb.SnapshotChunk) (peer.Body, error) {
	if err := checkRange("decode snapshot chunk", c.GetIndex(), c.GetSnapshotTerm(), c.GetOffset()); err != nil {
		return nil, err
	}
	if c.GetIndex() == 0 {
		return nil, &Error{operation: "decode snapshot chunk", kind: OutOfRange}
	}
	m, err := decodeMembers(c.GetGroup())
	if err != nil {
		return nil, err
	}
	s := peer.NewSnapshot(peer.Index(c.GetIndex()), peer.Term(c.GetSnapshotTerm()), m, c.GetData())
	return peer.NewSnapshotChunk(s, c.GetOffset(), c.GetLast(), c.GetRound()), nil
}

// checkRange returns an error if a number is not below numberLimit.
func checkRange(operation string, numbers ...uint64) error {
	for _, x := range numbers {
		if x >= numberLimit {
			return &Error{operation: operation, kind: OutOfRange}
		}
	}
	return nil
}
