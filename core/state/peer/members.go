package peer

import "slices"

// Suffrage says whether a replica votes in its group: Voter or Learner.
type Suffrage interface{ suffrage() }

// Voter replicas take part in elections and count for commits.
type Voter struct{}

// Learner replicas receive the log but do not vote and do not count for commits.
type Learner struct{}

func (Voter) suffrage()   {}
func (Learner) suffrage() {}

// Replica is one member of a control group.
type Replica struct {
	id       ID
	address  string
	suffrage Suffrage
}

// NewReplica returns the replica at address ("ip:port").
func NewReplica(id ID, address string, s Suffrage) Replica {
	return Replica{id: id, address: address, suffrage: s}
}

// ID returns the identity.
func (r Replica) ID() ID { return r.id }

// Address returns the address for other replicas, as "ip:port".
func (r Replica) Address() string { return r.address }

// Suffrage returns whether the replica is a voter or a learner.
func (r Replica) Suffrage() Suffrage { return r.suffrage }

// IsVoter reports whether the replica is a Voter.
func (r Replica) IsVoter() bool { return r.suffrage == Voter{} }

// Members is the list of replicas of a group. It is immutable.
type Members struct{ replicas []Replica }

// NewMembers returns the members in the given order.
func NewMembers(replicas ...Replica) Members { return Members{replicas: slices.Clone(replicas)} }

// List returns the replicas. The list is a copy.
func (m Members) List() []Replica { return slices.Clone(m.replicas) }

// Len returns the number of members.
func (m Members) Len() int { return len(m.replicas) }

// VoterCount returns the number of voters.
func (m Members) VoterCount() int {
	count := 0
	for _, r := range m.replicas {
		if r.IsVoter() {
			count++
		}
	}
	return count
}

// Quorum returns the number of voters that make a majority.
func (m Members) Quorum() int { return m.VoterCount()/2 + 1 }

// Find returns the member with the identity, and whether there is one.
func (m Members) Find(id ID) (Replica, bool) {
	for _, r := range m.replicas {
		if r.id == id {
			return r, true
		}
	}
	return Replica{}, false
}

// FindByAddress returns the member with the address, and whether there is one.
func (m Members) FindByAddress(address string) (Replica, bool) {
	for _, r := range m.replicas {
		if r.address == address {
			return r, true
		}
	}
	return Replica{}, false
}

// IsVoter reports whether the replica is a voter of the group.
func (m Members) IsVoter(id ID) bool {
	r, ok := m.Find(id)
	return ok && r.IsVoter()
}

// With returns a copy of the members with r appended. A member with the same identity is
// replaced.
func (m Members) With(r Replica) Members {
	next := m.Without(r.id)
	next.replicas = append(next.replicas, r)
	return next
}

// Without returns a copy of the members without the one that has the identity.
func (m Members) Without(id ID) Members {
	next := slices.Clone(m.replicas)
	return Members{replicas: slices.DeleteFunc(next, func(r Replica) bool { return r.id == id })}
}
