package raft

import "verbenabank/core/state/peer"

// start restores the stored state. A replica with empty storage starts blank, with a new random ID.
func (n *Node) start() {
	hard := n.stored.HardState()
	n.id, n.group, n.term, n.vote = hard.ID(), hard.Group(), hard.Term(), hard.Vote()
	if n.id == 0 {
		n.id = peer.ID(n.randomID())
		n.disk.dirty, n.disk.hardStateDirty = true, true
	}
	n.loadLog()
	if n.failed != nil {
		return
	}
	n.stored = peer.StoredState{}
	if n.snapshot.Index() > 0 {
		n.emit(Restore{snapshot: n.snapshot})
	}
	n.commit, n.applied = n.snapshot.Index(), n.snapshot.Index()
	n.committedMembers = n.log.members
	n.setMembers(n.log.membersAt(n.log.last()))
	n.disk.durableIndex = n.log.last()
	n.commitTo(max(hard.Commit(), n.commit))
	n.resetRole()
	n.resetElection()
}

// loadLog restores the stored log and checks its consistency.
func (n *Node) loadLog() {
	n.snapshot = n.stored.Snapshot()
	n.log.reset(n.snapshot)
	t := n.log.term
	for _, e := range n.stored.Entries() {
		if e.Index() != n.log.last()+1 || e.Term() < t || e.Term() > n.term {
			n.reportViolation("start", StorageCorrupt, "entry %d of term %d after entry %d of term %d",
				e.Index(), e.Term(), n.log.last(), t)
			return
		}
		t = e.Term()
		n.log.append(e)
	}
	if commit := n.stored.HardState().Commit(); commit > n.log.last() {
		n.reportViolation("start", StorageCorrupt, "log ends at %d, committed %d", n.log.last(), commit)
	}
}

// randomID returns a random number other than 0.
func (n *Node) randomID() uint64 {
	for {
		if x := n.random.Uint64(); x != 0 {
			return x
		}
	}
}

// resetRole takes the role of a replica that neither leads nor stands for election. It sends Hello
// messages unless this replica is a voter by the committed members.
func (n *Node) resetRole() {
	switch {
	case n.group == 0:
		n.become(Blank{})
	case n.mayLead():
		n.become(Follower{})
	default:
		n.become(Learner{})
	}
	switch {
	case n.committedMembers.IsVoter(n.id):
		n.timer.hello = Never
	case n.timer.hello == Never:
		n.timer.hello = n.now
	}
}
