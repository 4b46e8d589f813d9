package raft

import "verbenabank/core/state/peer"

// Status describes a node at one point in time.
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
	healthy bool
}

// Status returns a copy of the current state, for reports.
func (n *Node) Status() Status {
	return Status{
		id: n.id, group: n.group, role: n.role, term: n.term,
		leader: n.leader, address: n.addressOf(n.leader),
		commit: n.commit, applied: n.applied, first: n.log.base + 1, last: n.log.last(),
		members: n.members, healthy: n.healthy(),
	}
}

// healthy reports whether this replica leads, the group has a member at each configured address, and
// all members are recently active voters and have stored that the newest members are committed.
func (n *Node) healthy() bool {
	if _, ok := n.role.(Leader); !ok || n.membersIndex > n.commit {
		return false
	}
	for _, s := range n.seeds {
		if _, ok := n.members.FindByAddress(s); !ok {
			return false
		}
	}
	for _, r := range n.others() {
		if !r.IsVoter() || !n.recentlyActive(r.ID()) || n.lead.progress[r.ID()].commitRound < n.lead.announceRound {
			return false
		}
	}
	return true
}

// ID returns the ID of the replica, 0 before Started.
func (s Status) ID() peer.ID { return s.id }

// Group returns the group, 0 if the replica is blank.
func (s Status) Group() peer.Group { return s.group }

// Role returns the role; a replica that won an election is Elected until it commits an entry.
func (s Status) Role() Role { return s.role }

// Term returns the current term, which may not be durable yet.
func (s Status) Term() peer.Term { return s.term }

// Leader returns the ID of the leader, 0 if it is not known.
func (s Status) Leader() peer.ID { return s.leader }

// LeaderAddress returns the address of the leader, "" if it is not known.
func (s Status) LeaderAddress() string { return s.address }

// Commit returns the index of the last entry known to be committed.
func (s Status) Commit() peer.Index { return s.commit }

// Applied returns the index of the last entry emitted in Apply or Restore.
func (s Status) Applied() peer.Index { return s.applied }

// First returns the index of the first entry in memory.
func (s Status) First() peer.Index { return s.first }

// Last returns the index of the last entry, committed or not.
func (s Status) Last() peer.Index { return s.last }

// Members returns the newest members of the group, committed or not.
func (s Status) Members() peer.Members { return s.members }

// Healthy reports whether this replica leads a group in which no repair is pending: from now on the
// group tolerates the loss of any minority of its members.
func (s Status) Healthy() bool { return s.healthy }
