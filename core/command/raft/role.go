package raft

// Role is the part a replica plays at present: Blank, Learner, Follower,
// PreCandidate, Candidate, Elected or Leader.
type Role interface{ role() }

// Blank replicas have no group yet.
type Blank struct{}

// Learner replicas receive the log, and neither vote nor lead.
type Learner struct{}

// Follower replicas follow a leader or wait for one.
type Follower struct{}

// PreCandidate replicas ask whether they could win an election.
type PreCandidate struct{}

// Candidate replicas ask for votes.
type Candidate struct{}

// Elected replicas won the election of their term, and have not yet committed
// an entry of it.
type Elected struct{}

// Leader replicas committed an entry of their own term and applied all before it.
type Leader struct{}

func (Blank) role()        {}
func (Learner) role()      {}
func (Follower) role()     {}
func (PreCandidate) role() {}
func (Candidate) role()    {}
func (Elected) role()      {}
func (Leader) role()       {}
