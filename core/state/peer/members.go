package peer

import "slices"

// Suffrage is the part that a replica has in its group: Voter or Learner.
type Suffrage interface{ standing() }

// Voter replicas count for elections and commits.
type Voter struct{}

// Learner replicas receive the log and count for nothing.
type Learner struct{}

func (Voter) standing()   {}
func (Learner) standing() {}

// Replica is one member of a control group.
type Replica struct {
	id       ID
	address  string
	standing Suffrage
}

// NewReplica returns the replica that peers reach at address ("ip:port").
func NewReplica(id ID, address string, s Suffrage) Replica {
	return Replica{id: id, address: address, standing: s}
}

// ID returns the identity.
func (r Replica) ID() ID { return r.id }

// Address returns where peers reach the replica, as "ip:port".
func (r Replica) Address() string { return r.address }

// Suffrage returns the part of the replica in the group.
func (r Replica) Suffrage() Suffrage { return r.standing }

// IsVoter reports whether the replica is a Voter.
func (r Replica) IsVoter() bool { return r.standing == Voter{} }

// Members is the list of replicas of a group. It is immutable.
type Members struct{ replicas []Replica }

// NewMembers returns the members in the given order.
func NewMembers(replicas ...Replica) Members { return Members{replicas: slices.Clone(replicas)} }

// List returns a copy of the list.
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

// Quorum returns the least number of voters that is a majority.
func (m Members) Quorum() int { return m.VoterCount()/2 + 1 }

// Find returns the member with the identity.
func (m Members) Find(id ID) (Replica, bool) {
	for _, r := range m.replicas {
		if r.id == id {
			return r, true
		}
	}
	return Replica{}, false
}

// FindByAddress returns the member at the address.
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

// With returns the members with r added, or in place of the one with its
// identity.
func (m Members) With(r Replica) Members {
	next := m.Without(r.id)
	next.replicas = append(next.replicas, r)
	return next
}

// Without returns the members but the one with the identity.
func (m Members) Without(id ID) Members {
	next := slices.Clone(m.replicas)
	return Members{replicas: slices.DeleteFunc(next, func(r Replica) bool { return r.id == id })}
}
