package raft

import "verbenabank/core/state/peer"

// maxPromotionLag is the number of committed entries that a learner may still lack when it is
// promoted to voter.
const maxPromotionLag = 64

// admitReplica admits a replica that proved its address and is not a member. If it took over the
// address of a member that lost its disk, that member is removed first; then the replica is added as
// a learner. Each call makes at most one membership change.
func (n *Node) admitReplica(m peer.Message) {
	if !n.mayChangeMembers() {
		return
	}
	if _, ok := n.members.Find(m.From()); ok {
		return
	}
	old, taken := n.members.FindByAddress(m.Address())
	switch {
	case taken && m.Group() == 0:
		n.removeReplica(old)
	case taken:
	default:
		n.proposeMembers(n.members.With(peer.NewReplica(m.From(), m.Address(), peer.Learner{})))
	}
}

// mayChangeMembers reports whether this replica leads and all membership changes so far are committed.
// Only one change may be pending, and only after the leader has committed an entry of its own term.
func (n *Node) mayChangeMembers() bool {
	_, ok := n.role.(Leader)
	return ok && n.membersIndex <= n.commit && n.lead.transferee == 0
}

// removeReplica removes a lost replica if the voters that remain have a quorum of recently active
// ones.
func (n *Node) removeReplica(r peer.Replica) {
	next := n.members.Without(r.ID())
	alive := 0
	for _, o := range next.List() {
		if o.IsVoter() && (o.ID() == n.id || n.recentlyActive(o.ID())) {
			alive++
		}
	}
	if next.VoterCount() > 0 && alive >= next.Quorum() {
		n.proposeMembers(next)
	}
}

// proposeMembers appends a membership change.
func (n *Node) proposeMembers(m peer.Members) {
	n.appendLog(peer.NewEntry(n.log.last()+1, n.term, peer.NewMembershipChange(m)))
	n.sendAll(false)
}

// repairMembership removes an unresponsive member, if membership is open, or else promotes a learner
// that has nearly all committed entries.
func (n *Node) repairMembership() {
	if !n.mayChangeMembers() {
		return
	}
	if n.openMembership && n.removeUnresponsive() {
		return
	}
	for _, r := range n.others() {
		p, ok := n.lead.progress[r.ID()]
		if !r.IsVoter() && ok && p.match > 0 && p.match+maxPromotionLag >= n.commit && n.recentlyActive(r.ID()) {
			n.proposeMembers(n.members.With(peer.NewReplica(r.ID(), r.Address(), peer.Voter{})))
			return
		}
	}
}

// removeUnresponsive removes a member that there was no contact with for silenceTimeout, and reports
// whether it did. A voter is removed only while there are more than minVoters.
func (n *Node) removeUnresponsive() bool {
	for _, r := range n.others() {
		p, ok := n.lead.progress[r.ID()]
		if !ok || n.now.Sub(p.lastContact) < silenceTimeout || (r.IsVoter() && n.members.VoterCount() <= n.minVoters) {
			continue
		}
		before := n.log.last()
		n.removeReplica(r)
		if n.log.last() > before {
			return true
		}
	}
	return false
}
