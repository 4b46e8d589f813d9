package peer

// PreVoteRequest asks whether the receiver would vote for the sender in an election at the
// term of the message. It does not change the state of the receiver.
type PreVoteRequest struct {
	lastIndex Index
	lastTerm  Term
}

// NewPreVoteRequest returns the request of a sender whose log ends with the
// entry at i of term t.
func NewPreVoteRequest(i Index, t Term) PreVoteRequest {
	return PreVoteRequest{lastIndex: i, lastTerm: t}
}

// LastIndex returns the index of the sender's last entry.
func (r PreVoteRequest) LastIndex() Index { return r.lastIndex }

// LastTerm returns the term of the sender's last entry.
func (r PreVoteRequest) LastTerm() Term { return r.lastTerm }

// PreVoteReply is the reply to a PreVoteRequest. If it is granted, its term is that of the
// request.
type PreVoteReply struct{ granted bool }

// NewPreVoteReply returns the reply.
func NewPreVoteReply(granted bool) PreVoteReply { return PreVoteReply{granted: granted} }

// Granted reports whether the receiver would vote for the sender.
func (r PreVoteReply) Granted() bool { return r.granted }

// VoteRequest asks for a vote at the term of the message.
type VoteRequest struct {
	lastIndex Index
	lastTerm  Term
	transfer  bool
}

// NewVoteRequest returns the request of a sender whose log ends with the entry
// at i of term t. transfer is set if the leader asked the sender to
// take over.
func NewVoteRequest(i Index, t Term, transfer bool) VoteRequest {
	return VoteRequest{lastIndex: i, lastTerm: t, transfer: transfer}
}

// LastIndex returns the index of the sender's last entry.
func (r VoteRequest) LastIndex() Index { return r.lastIndex }

// LastTerm returns the term of the sender's last entry.
func (r VoteRequest) LastTerm() Term { return r.lastTerm }

// Transfer reports whether the leader asked the sender to take over (leadership transfer).
func (r VoteRequest) Transfer() bool { return r.transfer }

// VoteReply is the reply to a VoteRequest. A granted vote is durable before the reply is sent.
type VoteReply struct{ granted bool }

// NewVoteReply returns the reply.
func NewVoteReply(granted bool) VoteReply { return VoteReply{granted: granted} }

// Granted reports whether the receiver voted for the sender.
func (r VoteReply) Granted() bool { return r.granted }

// TimeoutNow asks a voter with an up-to-date log to start an election at once. The leader sends
// it before it stops (leadership transfer).
type TimeoutNow struct{}
