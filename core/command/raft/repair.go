package raft

import "verbenabank/core/state/peer"

// promoteLag is how many committed entries a learner may lack when it is
// promoted.
const promoteLag = 64

// admit takes a replica that proved that it lives and that the group does not
// know: first the one whose disk it replaces is removed, then it is added as a
// learner. Each call makes at most one change.
func (n *Node) admit(m peer.Message) {
	if !n.mayChange() {
		return
	}
	if _, ok := n.members.Find(m.From()); ok {
		return
	}
	old, taken := n.members.FindByAddress(m.Address())
	switch {
	case taken && m.Group() == 0:
		n.remove(old)
	case taken:
	default:
		n.change(n.members.With(peer.NewReplica(m.From(), m.Address(), peer.Learner{})))
	}
}

// mayChange reports whether this replica leads and all changes so far are
// committed. Only one may be open, and only after an entry of the own term.
func (n *Node) mayChange() bool {
	_, ok := n.role.(Leader)
	return ok && n.changed <= n.commit && n.lead.target == 0
}

// remove takes a lost replica out, if a quorum of the others lives.
func (n *Node) remove(r peer.Replica) {
	next := n.members.Without(r.ID())
	alive := 0
	for _, o := range next.List() {
		if o.IsVoter() && (o.ID() == n.id || n.lives(o.ID())) {
			alive++
		}
	}
	if next.VoterCount() > 0 && alive >= next.Quorum() {
		n.change(next)
	}
}

// change appends new members of the group.
func (n *Node) change(m peer.Members) {
	n.appendLog(peer.NewEntry(n.log.last()+1, n.term, peer.NewMembershipChange(m)))
	n.sendAll(false)
}

// repair promotes a learner that has nearly all that is committed.
func (n *Node) repair() {
	if !n.mayChange() {
		return
	}
	if n.open && n.removeSilent() {
		return
	}
	for _, r := range n.others() {
		p, ok := n.lead.progress[r.ID()]
		if !r.IsVoter() && ok && p.match > 0 && p.match+promoteLag >= n.commit && n.lives(r.ID()) {
			n.change(n.members.With(peer.NewReplica(r.ID(), r.Address(), peer.Voter{})))
			return
		}
	}
}

// removeSilent removes a member that was not heard from for long, and reports whether it
// does: a learner, or a voter if enough others are left.
func (n *Node) removeSilent() bool {
	for _, r := range n.others() {
		p, ok := n.lead.progress[r.ID()]
		if !ok || n.now.Sub(p.heard) < silentAfter || (r.IsVoter() && n.members.VoterCount() <= n.least) {
			continue
		}
		before := n.log.last()
		n.remove(r)
		if n.log.last() > before {
			return true
		}
	}
	return false
}
