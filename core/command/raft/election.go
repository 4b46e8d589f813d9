package raft

import "verbenabank/core/state/peer"

// follow becomes a follower at a term, of a leader or 0 if none is known.
func (n *Node) follow(t peer.Term, leader peer.ID) {
	n.stepDown()
	if t > n.term {
		n.setTerm(t, 0)
	}
	n.leader = leader
	n.ballot = nil
	n.resetElection()
	n.settle()
}

// hears reports whether a leader was heard from so lately that no election may
// be started against it.
func (n *Node) hears() bool {
	return n.leads() || (n.leader != 0 && n.now.Sub(n.lastHeard) < ElectionMin)
}

// upToDate reports whether a log that ends with the entry at i of term t holds
// all that this one may have committed.
func (n *Node) upToDate(i peer.Index, t peer.Term) bool {
	own := n.log.lastTerm()
	return t > own || (t == own && i >= n.log.last())
}

// preCampaign asks the voters whether an election could be won.
func (n *Node) preCampaign() {
	n.leader = 0
	n.resetElection()
	if !n.mayLead() || n.leads() {
		return
	}
	n.greetAgain()
	n.become(PreCandidate{})
	n.ballot = map[peer.ID]bool{n.id: true}
	if n.wins() {
		n.campaign(false)
		return
	}
	for _, r := range n.others() {
		if r.IsVoter() {
			n.send(r.ID(), n.term+1, peer.NewPreVoteRequest(n.log.last(), n.log.lastTerm()))
		}
	}
}

// campaign votes for itself in a new term and asks the others to.
func (n *Node) campaign(transfer bool) {
	n.leader = 0
	n.setTerm(n.term+1, n.id)
	n.become(Candidate{})
	n.ballot = map[peer.ID]bool{}
	n.resetElection()
	n.afterSync(func() { n.countVote(n.id) })
	for _, r := range n.others() {
		if r.IsVoter() {
			n.sendDurable(r.ID(), peer.NewVoteRequest(n.log.last(), n.log.lastTerm(), transfer))
		}
	}
}

// countVote counts a vote of the present term.
func (n *Node) countVote(from peer.ID) {
	if _, ok := n.role.(Candidate); !ok {
		return
	}
	n.ballot[from] = true
	if n.wins() {
		n.startLeading()
	}
}

// wins reports whether the ballot has a quorum of the newest members.
func (n *Node) wins() bool {
	count := 0
	for id := range n.ballot {
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
	granted := m.Term() > n.term && !n.hears() && n.upToDate(r.LastIndex(), r.LastTerm())
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
	n.ballot[m.From()] = true
	if n.wins() {
		n.campaign(false)
	}
}

func (n *Node) onVoteRequest(m peer.Message, r peer.VoteRequest) {
	if !n.mayVote() || (n.hears() && !r.Transfer() && m.Term() > n.term) {
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

// onTimeoutNow takes over from a leader that is about to stop.
func (n *Node) onTimeoutNow(m peer.Message) {
	if n.mayLead() && m.From() == n.leader && m.Term() == n.term && !n.leads() {
		n.campaign(true)
	}
}

// others returns the members but this replica.
func (n *Node) others() []peer.Replica { return n.members.Without(n.id).List() }

// greetAgain greets the others while no leader is heard from: this replica may have been
// removed while it was away, and does not know it.
func (n *Node) greetAgain() {
	if n.open && n.timer.hello == Never {
		n.timer.hello = n.now.Add(HelloEvery)
	}
}
