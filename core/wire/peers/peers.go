// Package peers converts the Raft messages and the storage records of control replicas, as
// defined in core/state/peer, to protobuf and back. Its functions are safe for concurrent use.
package peers

import (
	"verbenabank/core/state/peer"
	"verbenabank/core/wire/wirepb"
)

// Encode returns the protobuf message for m. The byte slices of m are shared, not copied.
func Encode(m peer.Message) *wirepb.PeerMessage {
	p := &wirepb.PeerMessage{
		Group: uint64(m.Group()), From: uint64(m.From()), To: uint64(m.To()),
		Term: uint64(m.Term()), Address: m.Address(),
	}
	switch b := m.Body().(type) {
	case peer.PreVoteRequest:
		p.Message = wrapVoteRequest(&wirepb.VoteRequest{Pre: true, LastIndex: uint64(b.LastIndex()), LastTerm: uint64(b.LastTerm())})
	case peer.VoteRequest:
		p.Message = wrapVoteRequest(&wirepb.VoteRequest{
			LastIndex: uint64(b.LastIndex()), LastTerm: uint64(b.LastTerm()), Transfer: b.Transfer(),
		})
	case peer.PreVoteReply:
		p.Message = &wirepb.PeerMessage_VoteReply{VoteReply: &wirepb.VoteReply{Pre: true, Granted: b.Granted()}}
	case peer.VoteReply:
		p.Message = &wirepb.PeerMessage_VoteReply{VoteReply: &wirepb.VoteReply{Granted: b.Granted()}}
	case peer.AppendRequest:
		p.Message = encodeAppend(b)
	case peer.AppendAccepted:
		p.Message = wrapAppendReply(&wirepb.AppendReply{Accepted: true, Match: uint64(b.Match()), Round: b.Round()})
	case peer.AppendRejected:
		p.Message = wrapAppendReply(&wirepb.AppendReply{Match: uint64(b.Previous()), Hint: uint64(b.Hint()), Round: b.Round()})
	case peer.SnapshotChunk:
		p.Message = encodeChunk(b)
	case peer.SnapshotReply:
		p.Message = &wirepb.PeerMessage_SnapshotReply{
			SnapshotReply: &wirepb.SnapshotReply{Index: uint64(b.Index()), NextOffset: b.Next(), Round: b.Round()},
		}
	case peer.Hello:
		p.Message = &wirepb.PeerMessage_Hello{
			Hello: &wirepb.Hello{Id: p.From, Address: p.Address, Blank: p.Group == 0, Nonce: b.Nonce(), Echo: b.Echo()},
		}
	case peer.HelloReply:
		p.Message = &wirepb.PeerMessage_HelloReply{
			HelloReply: &wirepb.HelloReply{
				Id: p.From, Group: p.Group, Address: p.Address, Blank: p.Group == 0,
				Nonce: b.Nonce(), Echo: b.Echo(), Known: b.EchoMatched(), Voter: b.Voter(), Leader: b.Leader(),
			},
		}
	case peer.Bootstrap:
		p.Message = &wirepb.PeerMessage_Form{Form: &wirepb.Form{Members: encodeMembers(b.Members()), Echo: b.Echo()}}
	case peer.TimeoutNow:
		p.Message = &wirepb.PeerMessage_TimeoutNow{TimeoutNow: &wirepb.TimeoutNow{}}
	}
	return p
}

func wrapVoteRequest(r *wirepb.VoteRequest) *wirepb.PeerMessage_VoteRequest {
	return &wirepb.PeerMessage_VoteRequest{VoteRequest: r}
}

func wrapAppendReply(r *wirepb.AppendReply) *wirepb.PeerMessage_AppendReply {
	return &wirepb.PeerMessage_AppendReply{AppendReply: r}
}

func encodeAppend(b peer.AppendRequest) *wirepb.PeerMessage_AppendRequest {
	return &wirepb.PeerMessage_AppendRequest{AppendRequest: &wirepb.AppendRequest{
		PreviousIndex: uint64(b.PreviousIndex()), PreviousTerm: uint64(b.PreviousTerm()),
		Commit: uint64(b.Commit()), Round: b.Round(), Entries: encodeEntries(b.Entries()),
	}}
}

func encodeChunk(b peer.SnapshotChunk) *wirepb.PeerMessage_SnapshotChunk {
	s := b.Part()
	return &wirepb.PeerMessage_SnapshotChunk{SnapshotChunk: &wirepb.SnapshotChunk{
		Index: uint64(s.Index()), SnapshotTerm: uint64(s.Term()), Group: encodeMembers(s.Members()),
		Offset: b.Offset(), Data: s.Data(), Last: b.Last(), Round: b.Round(),
	}}
}
