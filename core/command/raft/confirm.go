package raft

import (
	"slices"
)

// confirmRequest is a request to confirm that this replica still leads. It waits until a quorum has
// acknowledged its heartbeat round.
type confirmRequest struct {
	token uint64
	round uint64
}

// requestConfirm queues a confirmation request. Only a round that starts after the request can
// answer it.
func (n *Node) requestConfirm(token uint64) {
	if !n.leads() {
		n.emit(Dropped{tokens: []uint64{token}})
		return
	}
	n.lead.confirmRequests = append(n.lead.confirmRequests, confirmRequest{token: token, round: n.lead.round + 1})
	if n.timer.round == Never {
		n.timer.round = max(n.now, n.lead.roundStarted.Add(minRoundInterval))
	}
}

// startRound sends a heartbeat with a new round number to all followers.
func (n *Node) startRound() {
	n.lead.round++
	n.lead.roundStarted = n.now
	n.lead.roundStarts = append(slices.DeleteFunc(n.lead.roundStarts, func(s roundStart) bool {
		return n.now.Sub(s.at) > n.electionTimeoutMax()
	}), roundStart{round: n.lead.round, at: n.now})
	n.timer.heartbeat = n.now.Add(HeartbeatInterval)
	n.timer.round = Never
	n.sendAll(true)
	n.answerConfirmRequests()
}

// answerConfirmRequests answers the requests whose round a quorum acknowledged in this term. A leader that
// has committed no entry of its own term yet answers none.
func (n *Node) answerConfirmRequests() {
	if _, ok := n.role.(Leader); !ok || len(n.lead.confirmRequests) == 0 {
		return
	}
	round := n.quorumRound()
	var tokens []uint64
	for len(n.lead.confirmRequests) > 0 && n.lead.confirmRequests[0].round <= round {
		tokens = append(tokens, n.lead.confirmRequests[0].token)
		n.lead.confirmRequests = n.lead.confirmRequests[1:]
	}
	if len(tokens) > 0 {
		n.emit(Confirmed{tokens: tokens})
	}
}

// quorumRound returns the newest round that a quorum acknowledged.
func (n *Node) quorumRound() uint64 {
	var rounds []uint64
	for _, r := range n.members.List() {
		switch {
		case !r.IsVoter():
		case r.ID() == n.id:
			rounds = append(rounds, n.lead.round)
		default:
			rounds = append(rounds, n.lead.progress[r.ID()].ackedRound)
		}
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-n.members.Quorum()]
}

func sorted(tokens []uint64) []uint64 {
	slices.Sort(tokens)
	return tokens
}
