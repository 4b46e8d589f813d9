package raft

import (
	"testing"

	"verbenabank/core/state/peer"
)

// TestMessagesForAnotherReplicaAreIgnored guards against a replica that lost its disk and has a new ID answering
// messages to its former self: its votes and acknowledgements would count for a member that forgot its log.
func TestMessagesForAnotherReplicaAreIgnored(t *testing.T) {
	const formerID, group = 7, 9
	noop := peer.NewEntry(2, 5, peer.Noop{})
	for _, body := range []peer.Body{
		peer.NewPreVoteRequest(9, 9), peer.NewVoteRequest(9, 9, false), peer.NewVoteReply(true), peer.NewPreVoteReply(true),
		peer.NewAppendRequest(1, 1, 1, 3, []peer.Entry{noop}), peer.NewAppendRejected(1, 1, 1), peer.TimeoutNow{},
	} {
		s := newSingleNode()
		term := s.node.Status().Term()
		m := peer.NewMessage(peer.NewHeader(group, 2, "b", formerID), term+4, body)
		if effects := s.node.Step(s.now, NewReceived(m)); len(effects) > 0 {
			t.Errorf("%T: effects %v", body, effects)
		}
		if got := s.node.Status().Term(); got != term {
			t.Errorf("%T: the term is %d, was %d", body, got, term)
		}
	}
}
