package raft

import "verbenabank/core/state/peer"

// Status describes a node at one instant.
type Status struct {
	id      peer.ID
	group   peer.Group
	role    Role
	term    peer.Term
	leader  peer.ID
	address string
	commit  peer.Index
	applied peer.Index
	first   peer.Index
	last    peer.Index
	members peer.Members
	whole   bool
}

// Status returns the present status.
func (n *Node) Status() Status {
	return Status{
		id: n.id, group: n.group, role: n.role, term: n.term,
		leader: n.leader, address: n.addressOf(n.leader),
		commit: n.commit, applied: n.applied, first: n.log.base + 1, last: n.log.last(),
		members: n.members, whole: n.whole(),
	}
}

// whole reports whether this replica leads, the group has a member at each seed,
// and all members are voters that were heard from lately and have stored that
// the newest members are committed.
func (n *Node) whole() bool {
	if _, ok := n.role.(Leader); !ok || n.changed > n.commit {
		return false
	}
	for _, s := range n.seeds {
		if _, ok := n.members.FindByAddress(s); !ok {
			return false
		}
	}
	for _, r := range n.others() {
		if !r.IsVoter() || !n.lives(r.ID()) || n.lead.progress[r.ID()].told < n.lead.telling {
			return false
		}
	}
	return true
}

// ID returns the identity of the replica, 0 before Started.
func (s Status) ID() peer.ID { return s.id }

// Group returns the group, 0 if the replica is blank.
func (s Status) Group() peer.Group { return s.group }

// Role returns the present role.
func (s Status) Role() Role { return s.role }

// Term returns the present term.
func (s Status) Term() peer.Term { return s.term }

// Leader returns the identity of the leader, 0 if it is not known.
func (s Status) Leader() peer.ID { return s.leader }

// LeaderAddress returns where the leader is reached, "" if it is not known.
func (s Status) LeaderAddress() string { return s.address }

// Commit returns the commit index.
func (s Status) Commit() peer.Index { return s.commit }

// Applied returns the index of the last entry that was given out in Apply or
// Restore.
func (s Status) Applied() peer.Index { return s.applied }

// First returns the index of the first entry in memory.
func (s Status) First() peer.Index { return s.first }

// Last returns the index of the last entry.
func (s Status) Last() peer.Index { return s.last }

// Members returns the newest members of the group, committed or not.
func (s Status) Members() peer.Members { return s.members }

// Healthy reports whether this replica leads a group in which no repair is open:
// the group bears the loss of any minority of its members from now on.
func (s Status) Healthy() bool { return s.whole }
