package raft

// Role is the current role of a replica: Blank, Learner, Follower, PreCandidate, Candidate, Elected or
// Leader.
type Role interface{ role() }

// Blank replicas belong to no group yet.
type Blank struct{}

// Learner replicas receive the log but are not voters and cannot lead.
type Learner struct{}

// Follower replicas follow a leader or wait for one.
type Follower struct{}

// PreCandidate replicas ask the voters whether they could win an election.
type PreCandidate struct{}

// Candidate replicas ask the voters for their votes.
type Candidate struct{}

// Elected replicas won the election of their term but have committed no entry of it yet.
type Elected struct{}

// Leader replicas have committed an entry of their own term and applied all entries before it.
type Leader struct{}

func (Blank) role()        {}
func (Learner) role()      {}
func (Follower) role()     {}
func (PreCandidate) role() {}
func (Candidate) role()    {}
func (Elected) role()      {}
func (Leader) role()       {}
