package raft

import (
	"slices"

	"verbenabank/core/state/peer"
)

// commitTo advances the commit index to i and emits the newly committed entries.
func (n *Node) commitTo(i peer.Index) {
	if i < n.commit || i > n.log.last() {
		n.reportViolation("commit", CommittedLost, "to %d, committed %d, log ends at %d", i, n.commit, n.log.last())
		return
	}
	if i == n.commit {
		return
	}
	n.commit = i
	var entries []Committed
	for k := n.applied + 1; k <= i; k++ {
		entries = append(entries, Committed{entry: n.log.at(k), token: n.lead.proposals[k]})
		delete(n.lead.proposals, k)
	}
	n.applied = i
	n.emit(Apply{entries: entries})
	n.commitMembers(entries)
}

// commitMembers adopts the last membership change among newly committed entries.
func (n *Node) commitMembers(entries []Committed) {
	for _, c := range slices.Backward(entries) {
		if change, ok := c.entry.Payload().(peer.MembershipChange); ok {
			n.committedMembers = change.Members()
			n.disk.dirty, n.disk.hardStateDirty = true, true
			n.refreshRole()
			return
		}
	}
}

// refreshRole recomputes the role of a replica that is not in an election or leading, after its
// committed members changed.
func (n *Node) refreshRole() {
	switch n.role.(type) {
	case Blank, Learner, Follower:
		n.resetRole()
		if n.timer.election == Never {
			n.resetElection()
		}
	case PreCandidate, Candidate, Elected, Leader:
	}
}

// setMembers adopts the newest members of the group, which the entry at i set, committed or not.
func (n *Node) setMembers(m peer.Members, i peer.Index) {
	n.members, n.membersIndex = m, i
	if n.leads() {
		n.trackMembers()
	}
}

// advanceCommit commits what a quorum has made durable, provided the last such entry is of the
// leader's own term (figure 3.7 of Ongaro's thesis shows why).
func (n *Node) advanceCommit() {
	matches := make([]peer.Index, 0, n.members.Len())
	for _, r := range n.members.List() {
		switch {
		case !r.IsVoter():
		case r.ID() == n.id:
			matches = append(matches, n.disk.durableIndex)
		default:
			matches = append(matches, n.lead.progress[r.ID()].match)
		}
	}
	slices.Sort(matches)
	if len(matches) == 0 {
		return
	}
	i := matches[len(matches)-n.members.Quorum()]
	if i > n.commit && n.log.termAt(i) == n.term {
		n.commitTo(i)
		n.afterCommit()
	}
}

// afterCommit runs on the leader when its commit index has risen. It steps down once a change that
// removes it as a voter is committed and announced.
func (n *Node) afterCommit() {
	if _, ok := n.role.(Elected); ok && n.commit >= n.lead.termStart {
		n.become(Leader{})
		n.announceMembers()
	}
	if n.membersIndex > n.lead.announcedIndex && n.commit >= n.membersIndex {
		n.announceMembers()
		if !n.committedMembers.IsVoter(n.id) {
			n.follow(n.term, 0)
			return
		}
	}
	n.repairMembership()
}

// announceMembers starts a heartbeat round that tells all followers that the newest members are
// committed.
func (n *Node) announceMembers() {
	n.lead.announcedIndex = min(n.membersIndex, n.commit)
	n.lead.announceRound = n.lead.round + 1
	n.startRound()
}
