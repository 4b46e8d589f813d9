package raft

import "verbenabank/core/state/peer"

// receive handles a message. Messages for another replica or of another group are ignored.
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
		n.onBootstrap(m, b)
		return
	case peer.PreVoteRequest, peer.PreVoteReply, peer.VoteRequest, peer.VoteReply,
		peer.AppendRequest, peer.AppendAccepted, peer.AppendRejected,
		peer.SnapshotChunk, peer.SnapshotReply, peer.TimeoutNow:
	}
	if m.To() != n.id || m.Group() == 0 {
		return
	}
	if n.logEmpty() && n.group != m.Group() && fromLeader(m.Body()) && !n.addressTakenOver(m) {
		n.adoptGroup(m.Group())
	}
	if m.Group() != n.group {
		return
	}
	n.addresses[m.From()] = m.Address()
	if !n.checkTerm(m) {
		return
	}
	n.dispatch(m)
}

// fromLeader reports whether only a leader sends messages of this type.
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

// addressTakenOver reports whether a replica other than the sender has proved that it has the sender's
// address: the sender has lost its disk since it sent m.
func (n *Node) addressTakenOver(m peer.Message) bool {
	id := n.noncesOf(m.Address()).verifiedID
	return id != 0 && id != m.From()
}

// adoptGroup makes g the group of this replica, in place of any group of which it has no entry.
func (n *Node) adoptGroup(g peer.Group) {
	n.group, n.leader, n.knownVoter, n.incoming = g, 0, false, incomingSnapshot{}
	n.disk.dirty, n.disk.hardStateDirty = true, true
	n.resetRole()
}

// checkTerm adopts the term of a message if it is newer, tells a leader of an older term about the
// current one, and reports whether the message is to be handled.
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

// acceptLeader accepts the sender of a message that only the leader of the term sends as the leader.
// A second leader in the term is an invariant violation.
func (n *Node) acceptLeader(m peer.Message) bool {
	if n.leads() || (n.leader != 0 && n.leader != m.From()) {
		n.reportViolation("receive", TwoLeaders, "term %d, %x and %x", n.term, n.leader, m.From())
		return false
	}
	n.follow(n.term, m.From())
	n.leaderContact = n.now
	return true
}
