package raft

import "verbenabank/core/state/peer"

// receive takes a message. Those for another replica or of another group have no
// effect.
func (n *Node) receive(m peer.Message) {
	if m.From() == 0 || m.From() == n.id || n.id == 0 {
		return
	}
	switch b := m.Body().(type) {
	case peer.Hello:
		n.onHello(m, b)
		return
	case peer.HelloReply:
		n.onHelloReply(m, b)
		return
	case peer.Bootstrap:
		n.onForm(m, b)
		return
	case peer.PreVoteRequest, peer.PreVoteReply, peer.VoteRequest, peer.VoteReply,
		peer.AppendRequest, peer.AppendAccepted, peer.AppendRejected,
		peer.SnapshotChunk, peer.SnapshotReply, peer.TimeoutNow:
	}
	if m.To() != n.id || m.Group() == 0 {
		return
	}
	if n.free() && n.group != m.Group() && fromLeader(m.Body()) && !n.replaced(m) {
		n.adopt(m.Group())
	}
	if m.Group() != n.group {
		return
	}
	n.contacts[m.From()] = m.Address()
	if !n.checkTerm(m) {
		return
	}
	n.dispatch(m)
}

// fromLeader reports whether only a leader sends such messages.
func fromLeader(b peer.Body) bool {
	switch b.(type) {
	case peer.AppendRequest, peer.SnapshotChunk:
		return true
	case peer.PreVoteRequest, peer.PreVoteReply, peer.VoteRequest, peer.VoteReply,
		peer.AppendAccepted, peer.AppendRejected, peer.SnapshotReply,
		peer.Hello, peer.HelloReply, peer.Bootstrap, peer.TimeoutNow:
		return false
	}
	return false
}

// replaced reports whether another replica than the sender proved that it lives at the
// sender's address: the sender lost its disk since.
func (n *Node) replaced(m peer.Message) bool {
	id := n.noncesOf(m.Address()).id
	return id != 0 && id != m.From()
}

// adopt turns to a group in place of the one, if any, of which this replica has no entry.
func (n *Node) adopt(g peer.Group) {
	n.group, n.leader, n.vouched, n.inward = g, 0, false, incoming{}
	n.disk.dirty, n.disk.promising = true, true
	n.settle()
}

// checkTerm moves to the term of a message if it is newer, answers a leader of
// an older term, and reports whether the message is still of interest.
func (n *Node) checkTerm(m peer.Message) bool {
	switch b := m.Body().(type) {
	case peer.PreVoteRequest, peer.VoteRequest:
		return true
	case peer.PreVoteReply:
		if b.Granted() {
			return true
		}
	case peer.AppendRequest:
		if m.Term() < n.term {
			n.sendDurable(m.From(), peer.NewAppendRejected(b.PreviousIndex(), 0, 0))
		}
	case peer.SnapshotChunk:
		if m.Term() < n.term {
			n.sendDurable(m.From(), peer.NewAppendRejected(0, 0, 0))
		}
	case peer.VoteReply, peer.AppendAccepted, peer.AppendRejected, peer.SnapshotReply, peer.TimeoutNow:
	case peer.Hello, peer.HelloReply, peer.Bootstrap:
		return false
	}
	if m.Term() > n.term {
		n.follow(m.Term(), 0)
	}
	return m.Term() == n.term
}

func (n *Node) dispatch(m peer.Message) {
	switch b := m.Body().(type) {
	case peer.PreVoteRequest:
		n.onPreVoteRequest(m, b)
	case peer.PreVoteReply:
		n.onPreVoteReply(m, b)
	case peer.VoteRequest:
		n.onVoteRequest(m, b)
	case peer.VoteReply:
		n.onVoteReply(m, b)
	case peer.AppendRequest:
		n.onAppendRequest(m, b)
	case peer.AppendAccepted:
		n.onAccepted(m.From(), b.Match(), b.Round())
	case peer.AppendRejected:
		n.onRejected(m.From(), b)
	case peer.SnapshotChunk:
		n.onChunk(m, b)
	case peer.SnapshotReply:
		n.onSnapshotReply(m.From(), b)
	case peer.TimeoutNow:
		n.onTimeoutNow(m)
	case peer.Hello, peer.HelloReply, peer.Bootstrap:
	}
}

// obey follows the sender of a message that only the leader of the term sends.
func (n *Node) obey(m peer.Message) bool {
	if n.leads() || (n.leader != 0 && n.leader != m.From()) {
		n.violate("receive", TwoLeaders, "term %d, %x and %x", n.term, n.leader, m.From())
		return false
	}
	n.follow(n.term, m.From())
	n.lastHeard = n.now
	return true
}
