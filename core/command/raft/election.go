package raft

import "verbenabank/core/state/peer"

// follow makes this replica a follower at term t. leader is 0 if the leader is not known.
func (n *Node) follow(t peer.Term, leader peer.ID) {
	n.stepDown()
	if t > n.term {
		n.setTerm(t, 0)
	}
	n.leader = leader
	n.votes = nil
	n.resetElection()
	n.resetRole()
}

// hasRecentLeader reports whether this replica leads, or heard from a leader within the minimum
// election timeout. It then supports no new election, except one that a leadership transfer started.
func (n *Node) hasRecentLeader() bool {
	return n.leads() || (n.leader != 0 && n.now.Sub(n.leaderContact) < n.electionTimeoutMin())
}

// upToDate reports whether a log whose last entry is at index i, of term t, is at least as up to date
// as the local one.
func (n *Node) upToDate(i peer.Index, t peer.Term) bool {
	own := n.log.lastTerm()
	return t > own || (t == own && i >= n.log.last())
}

// preCampaign starts a pre-vote: it asks the voters whether an election could be won.
func (n *Node) preCampaign() {
	n.leader = 0
	n.resetElection()
	if !n.mayLead() || n.leads() {
		return
	}
	n.scheduleHello()
	n.become(PreCandidate{})
	n.votes = map[peer.ID]bool{n.id: true}
	if n.hasVoteQuorum() {
		n.campaign(false)
		return
	}
	for _, r := range n.others() {
		if r.IsVoter() {
			n.send(r.ID(), n.term+1, peer.NewPreVoteRequest(n.log.last(), n.log.lastTerm()))
		}
	}
}

// campaign starts an election: the replica votes for itself in a new term and asks the others for
// their votes. With transfer set, they vote even if they heard from a leader recently.
func (n *Node) campaign(transfer bool) {
	n.leader = 0
	n.setTerm(n.term+1, n.id)
	n.become(Candidate{})
	n.votes = map[peer.ID]bool{}
	n.resetElection()
	n.afterSync(func() { n.countVote(n.id) })
	for _, r := range n.others() {
		if r.IsVoter() {
			n.sendDurable(r.ID(), peer.NewVoteRequest(n.log.last(), n.log.lastTerm(), transfer))
		}
	}
}

// countVote counts a vote of the current term.
func (n *Node) countVote(from peer.ID) {
	if _, ok := n.role.(Candidate); !ok {
		return
	}
	n.votes[from] = true
	if n.hasVoteQuorum() {
		n.startLeading()
	}
}

// hasVoteQuorum reports whether the votes received are a quorum of the newest members.
func (n *Node) hasVoteQuorum() bool {
	count := 0
	for id := range n.votes {
		if n.members.IsVoter(id) {
			count++
		}
	}
	return count >= n.members.Quorum()
}

func (n *Node) onPreVoteRequest(m peer.Message, r peer.PreVoteRequest) {
	if !n.mayVote() {
		return
	}
	granted := m.Term() > n.term && !n.hasRecentLeader() && n.upToDate(r.LastIndex(), r.LastTerm())
	t := n.term
	if granted {
		t = m.Term()
	}
	n.send(m.From(), t, peer.NewPreVoteReply(granted))
}

func (n *Node) onPreVoteReply(m peer.Message, r peer.PreVoteReply) {
	if _, ok := n.role.(PreCandidate); !ok || !r.Granted() || m.Term() != n.term+1 {
		return
	}
	n.votes[m.From()] = true
	if n.hasVoteQuorum() {
		n.campaign(false)
	}
}

func (n *Node) onVoteRequest(m peer.Message, r peer.VoteRequest) {
	if !n.mayVote() || (n.hasRecentLeader() && !r.Transfer() && m.Term() > n.term) {
		return
	}
	if m.Term() > n.term {
		n.follow(m.Term(), 0)
	}
	free := n.vote == 0 || n.vote == m.From()
	granted := m.Term() == n.term && free && n.upToDate(r.LastIndex(), r.LastTerm())
	if granted && n.vote == 0 {
		n.setTerm(n.term, m.From())
		n.resetElection()
	}
	n.sendDurable(m.From(), peer.NewVoteReply(granted))
}

func (n *Node) onVoteReply(m peer.Message, r peer.VoteReply) {
	if r.Granted() && m.Term() == n.term {
		n.countVote(m.From())
	}
}

// onTimeoutNow starts an election at once, at the request of a leader that hands over.
func (n *Node) onTimeoutNow(m peer.Message) {
	if n.mayLead() && m.From() == n.leader && m.Term() == n.term && !n.leads() {
		n.campaign(true)
	}
}

// others returns all members except this replica.
func (n *Node) others() []peer.Replica { return n.members.Without(n.id).List() }

// scheduleHello resumes Hello messages while there is no leader: this replica may have been removed
// while it was down, without knowing it.
func (n *Node) scheduleHello() {
	if n.openMembership && n.timer.hello == Never {
		n.timer.hello = n.now.Add(HelloInterval)
	}
}
