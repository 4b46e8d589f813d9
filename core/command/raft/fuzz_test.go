package raft

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"verbenabank/core/state/peer"
	"verbenabank/core/wire/peers"
	"verbenabank/core/wire/wirepb"
)

// FuzzReceive gives a follower and a leader any two messages that can be decoded,
// addressed to them. They may stop, but not panic.
func FuzzReceive(f *testing.F) {
	members := peer.NewMembers(peer.NewReplica(1, "a", peer.Voter{}), peer.NewReplica(2, "b", peer.Learner{}))
	entries := []peer.Entry{peer.NewEntry(2, 2, peer.NewMembershipChange(members)), peer.NewEntry(3, 3, peer.Noop{})}
	part := peer.NewSnapshot(9, 2, members, []byte("state"))
	var seeds [][]byte
	for _, b := range []peer.Body{
		peer.NewVoteRequest(5, 2, true), peer.NewAppendRequest(1, 1, 3, 11, entries), peer.NewAppendAccepted(2, 11),
		peer.NewAppendRejected(6, 2, 11), peer.NewSnapshotChunk(part, 0, true, 1), peer.NewSnapshotReply(9, 5, 1),
		peer.NewHello(3, 4), peer.NewBootstrap(members, 6), peer.TimeoutNow{},
	} {
		data, _ := proto.Marshal(peers.Encode(peer.NewMessage(peer.NewHeader(9, 2, "b", 1), 3, b)))
		seeds = append(seeds, data)
	}
	for k, data := range seeds {
		f.Add(data, seeds[(k+1)%len(seeds)], k%2 == 0)
	}
	f.Fuzz(func(_ *testing.T, first, second []byte, elected bool) {
		s := newSingle()
		if elected {
			s.elect()
		}
		for _, data := range [][]byte{first, second} {
			p := &wirepb.PeerMessage{}
			if proto.Unmarshal(data, p) != nil {
				return
			}
			p.Group, p.To, p.From, p.Address = 9, 1, 2+p.From%2, "b"
			m, err := peers.Decode(p)
			if err != nil {
				return
			}
			s.run(NewReceived(m))
			s.now += ElectionMax
			s.run(Ticked{})
		}
	})
}
