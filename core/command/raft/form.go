package raft

import "verbenabank/core/state/peer"

// The first term and index of a group hold its first members.
const (
	firstTerm  peer.Term  = 1
	firstIndex peer.Index = 1
)

// The founding is safe since a replica has entries of one group in its life, the
// majorities of two foundings at the same addresses share a replica unless one of
// them lost its disk, and a replica that lost its disk founds only after all others
// said, to its new identity, that they have no entry: then no entry was committed in
// an earlier founding. Since they know the new identity by a nonce, no Form and no
// entry of the earlier one is accepted from that answer on. A replica that was told of
// a group and has no entry of it is free to enter another one: it acknowledged
// nothing, and it keeps its term and vote.

// found proposes a new group, if this replica may: it has the lowest address of
// the settings, and all others just said that they are blank too.
func (n *Node) found() {
	if !n.form || !n.free() || len(n.seeds) == 0 || n.seeds[0] != n.address {
		return
	}
	var replicas []peer.Replica
	for _, s := range n.seeds {
		id := n.id
		if s != n.address {
			a, ok := n.greet.answers[s]
			if !ok || n.now.Sub(a.at) > helloFresh {
				return
			}
			id = a.id
		}
		replicas = append(replicas, peer.NewReplica(id, s, peer.Voter{}))
	}
	n.enter(peer.Group(n.draw()), peer.NewMembers(replicas...))
	for _, r := range n.others() {
		n.sendDurable(r.ID(), peer.NewBootstrap(n.members, n.noncesOf(r.Address()).echo))
	}
	n.timer.election = n.now
}

// free reports whether this replica has no entry of any group, so that it may enter one.
func (n *Node) free() bool { return n.log.last() < firstIndex }

// entered returns the group whose entries this replica has, 0 if it has none.
func (n *Node) entered() peer.Group {
	if n.free() {
		return 0
	}
	return n.group
}

// enter begins the log of a new group.
func (n *Node) enter(g peer.Group, m peer.Members) {
	n.adopt(g)
	if n.term < firstTerm {
		n.setTerm(firstTerm, 0)
	}
	n.appendLog(peer.NewEntry(firstIndex, firstTerm, peer.NewMembershipChange(m)))
	n.commitTo(firstIndex)
	n.greet.answers = map[string]answer{}
}

// onForm enters the group that another blank replica founded.
func (n *Node) onForm(m peer.Message, f peer.Bootstrap) {
	if !n.free() || m.To() != n.id || m.Group() == 0 || !n.seed(m.Address()) {
		return
	}
	if !n.proves(m, f.Echo()) {
		return
	}
	own, ok := f.Members().Find(n.id)
	if !ok || own.Address() != n.address || !f.Members().IsVoter(m.From()) {
		return
	}
	n.enter(m.Group(), f.Members())
}

// passForm repeats the founding for a first member that it did not reach.
func (n *Node) passForm(m peer.Message, h peer.Hello) {
	if n.free() || m.Group() != 0 || n.log.base != 0 {
		return
	}
	first, ok := n.log.at(firstIndex).Payload().(peer.MembershipChange)
	if ok && first.Members().IsVoter(m.From()) {
		n.greetAt(m.Address(), m.From(), peer.NewBootstrap(first.Members(), h.Nonce()))
	}
}
