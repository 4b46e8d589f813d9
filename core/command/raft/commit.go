package raft

import (
	"slices"

	"verbenabank/core/state/peer"
)

// commitTo commits all entries up to i and gives them out.
func (n *Node) commitTo(i peer.Index) {
	if i < n.commit || i > n.log.last() {
		n.violate("commit", CommittedLost, "to %d, committed %d, log ends at %d", i, n.commit, n.log.last())
		return
	}
	if i == n.commit {
		return
	}
	n.commit = i
	var entries []Committed
	for k := n.applied + 1; k <= i; k++ {
		entries = append(entries, Committed{entry: n.log.at(k), token: n.lead.offers[k]})
		delete(n.lead.offers, k)
	}
	n.applied = i
	n.emit(Apply{entries: entries})
	n.settleMembers(entries)
}

// settleMembers takes over the last change of the group among committed entries.
func (n *Node) settleMembers(entries []Committed) {
	for _, c := range slices.Backward(entries) {
		if change, ok := c.entry.Payload().(peer.MembershipChange); ok {
			n.settled = change.Members()
			n.disk.dirty, n.disk.promising = true, true
			n.standAnew()
			return
		}
	}
}

// standAnew takes the role that the committed members give this replica.
func (n *Node) standAnew() {
	switch n.role.(type) {
	case Blank, Learner, Follower:
		n.settle()
		if n.timer.election == Never {
			n.resetElection()
		}
	case PreCandidate, Candidate, Elected, Leader:
	}
}

// setMembers takes over the newest members of the group, which the entry at i
// set.
func (n *Node) setMembers(m peer.Members, i peer.Index) {
	n.members, n.changed = m, i
	if n.leads() {
		n.trackMembers()
	}
}

// advanceCommit commits what a quorum has stored, once it holds an entry of the
// leader's own term.
func (n *Node) advanceCommit() {
	matches := make([]peer.Index, 0, n.members.Len())
	for _, r := range n.members.List() {
		switch {
		case !r.IsVoter():
		case r.ID() == n.id:
			matches = append(matches, n.disk.durable)
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

// afterCommit is what a leader does when its commit index rose.
func (n *Node) afterCommit() {
	if _, ok := n.role.(Elected); ok && n.commit >= n.lead.first {
		n.become(Leader{})
		n.announce()
	}
	if n.changed > n.lead.told && n.commit >= n.changed {
		n.announce()
		if !n.settled.IsVoter(n.id) {
			n.follow(n.term, 0)
			return
		}
	}
	n.repair()
}

// announce tells all followers that the newest members are committed.
func (n *Node) announce() {
	n.lead.told = min(n.changed, n.commit)
	n.lead.telling = n.lead.round + 1
	n.startRound()
}
