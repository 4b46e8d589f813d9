package raft

import "verbenabank/core/state/peer"

// start takes over what was stored, or begins blank with a new identity.
func (n *Node) start() {
	hard := n.stored.HardState()
	n.id, n.group, n.term, n.vote = hard.ID(), hard.Group(), hard.Term(), hard.Vote()
	if n.id == 0 {
		n.id = peer.ID(n.draw())
		n.disk.dirty, n.disk.promising = true, true
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
	n.settled = n.log.members
	n.setMembers(n.log.membersAt(n.log.last()))
	n.disk.durable = n.log.last()
	n.commitTo(max(hard.Commit(), n.commit))
	n.settle()
	n.resetElection()
}

// loadLog takes over the stored log and checks that it is whole.
func (n *Node) loadLog() {
	n.snapshot = n.stored.Snapshot()
	n.log.reset(n.snapshot)
	t := n.log.term
	for _, e := range n.stored.Entries() {
		if e.Index() != n.log.last()+1 || e.Term() < t || e.Term() > n.term {
			n.violate("start", StorageBroken, "entry %d of term %d after entry %d of term %d",
				e.Index(), e.Term(), n.log.last(), t)
			return
		}
		t = e.Term()
		n.log.append(e)
	}
	if commit := n.stored.HardState().Commit(); commit > n.log.last() {
		n.violate("start", StorageBroken, "log ends at %d, committed %d", n.log.last(), commit)
	}
}

// draw returns a random number that is not 0.
func (n *Node) draw() uint64 {
	for {
		if x := n.random.Uint64(); x != 0 {
			return x
		}
	}
}

// settle takes the role of a replica that does not lead or seek to, and greets
// the seeds unless the group has it as a voter.
func (n *Node) settle() {
	switch {
	case n.group == 0:
		n.become(Blank{})
	case n.mayLead():
		n.become(Follower{})
	default:
		n.become(Learner{})
	}
	switch {
	case n.settled.IsVoter(n.id):
		n.timer.hello = Never
	case n.timer.hello == Never:
		n.timer.hello = n.now
	}
}
