package raft

import "verbenabank/core/state/peer"

// The first entry of every group has this term and index and holds the initial members.
const (
	firstTerm  peer.Term  = 1
	firstIndex peer.Index = 1
)

// Bootstrapping is safe for these reasons:
//
// A replica stores entries of only one group in its life. The majorities of two bootstraps at the
// same addresses share a replica, unless one of the replicas lost its disk. A replica that lost its
// disk bootstraps only after all others have told its new ID that they have no entry, so no entry of
// an earlier bootstrap can have been committed. The others verified the new ID by a nonce, so from
// that reply on they accept no Bootstrap message and no entry of the earlier bootstrap.
//
// A replica that was told of a group but has no entry of it may still join another one: it
// acknowledged nothing, and it keeps its term and vote.

// tryBootstrap proposes a new group if this replica is allowed to: it has the lowest of the
// configured addresses, and all others replied within helloReplyTTL that they are blank too.
func (n *Node) tryBootstrap() {
	if !n.bootstrap || !n.logEmpty() || len(n.seeds) == 0 || n.seeds[0] != n.address {
		return
	}
	var replicas []peer.Replica
	for _, s := range n.seeds {
		id := n.id
		if s != n.address {
			r, ok := n.discovery.blankReplies[s]
			if !ok || n.now.Sub(r.at) > helloReplyTTL {
				return
			}
			id = r.id
		}
		replicas = append(replicas, peer.NewReplica(id, s, peer.Voter{}))
	}
	n.startGroup(peer.Group(n.randomID()), peer.NewMembers(replicas...))
	for _, r := range n.others() {
		n.sendDurable(r.ID(), peer.NewBootstrap(n.members, n.noncesOf(r.Address()).received))
	}
	n.timer.election = n.now
}

// logEmpty reports whether this replica has no entry of any group, so that it may still join one.
func (n *Node) logEmpty() bool { return n.log.last() < firstIndex }

// logGroup returns the group whose entries this replica stores, 0 if it has none.
func (n *Node) logGroup() peer.Group {
	if n.logEmpty() {
		return 0
	}
	return n.group
}

// startGroup writes and commits the first entry of a new group.
func (n *Node) startGroup(g peer.Group, m peer.Members) {
	n.adoptGroup(g)
	if n.term < firstTerm {
		n.setTerm(firstTerm, 0)
	}
	n.appendLog(peer.NewEntry(firstIndex, firstTerm, peer.NewMembershipChange(m)))
	n.commitTo(firstIndex)
	n.discovery.blankReplies = map[string]blankReply{}
}

// onBootstrap joins the group that another blank replica bootstrapped.
func (n *Node) onBootstrap(m peer.Message, b peer.Bootstrap) {
	if !n.logEmpty() || m.To() != n.id || m.Group() == 0 || !n.isPeerAddress(m.Address()) {
		return
	}
	if !n.verifyEcho(m, b.Echo()) {
		return
	}
	own, ok := b.Members().Find(n.id)
	if !ok || own.Address() != n.address || !b.Members().IsVoter(m.From()) {
		return
	}
	n.startGroup(m.Group(), b.Members())
}

// resendBootstrap repeats the Bootstrap message to an initial member that did not receive it.
func (n *Node) resendBootstrap(m peer.Message, h peer.Hello) {
	if n.logEmpty() || m.Group() != 0 || n.log.base != 0 {
		return
	}
	first, ok := n.log.at(firstIndex).Payload().(peer.MembershipChange)
	if ok && first.Members().IsVoter(m.From()) {
		n.sendToAddress(m.Address(), m.From(), peer.NewBootstrap(first.Members(), h.Nonce()))
	}
}
