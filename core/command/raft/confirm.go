package raft

import (
	"slices"
)

// ask is a question whether this replica still leads, that waits for a quorum to
// acknowledge a round.
type ask struct {
	token uint64
	round uint64
}

// askConfirm takes a question. It needs a round that starts from now on.
func (n *Node) askConfirm(token uint64) {
	if !n.leads() {
		n.emit(Dropped{tokens: []uint64{token}})
		return
	}
	n.lead.asks = append(n.lead.asks, ask{token: token, round: n.lead.round + 1})
	if n.timer.round == Never {
		n.timer.round = max(n.now, n.lead.started.Add(roundSpacing))
	}
}

// startRound sends a heartbeat with a new round number to all followers.
func (n *Node) startRound() {
	n.lead.round++
	n.lead.started = n.now
	n.lead.starts = append(slices.DeleteFunc(n.lead.starts, func(s start) bool {
		return n.now.Sub(s.at) > ElectionMax
	}), start{round: n.lead.round, at: n.now})
	n.timer.heartbeat = n.now.Add(Heartbeat)
	n.timer.round = Never
	n.sendAll(true)
	n.checkConfirm()
}

// checkConfirm answers the questions whose round a quorum acknowledged in this
// term.
func (n *Node) checkConfirm() {
	if _, ok := n.role.(Leader); !ok || len(n.lead.asks) == 0 {
		return
	}
	round := n.quorumRound()
	var tokens []uint64
	for len(n.lead.asks) > 0 && n.lead.asks[0].round <= round {
		tokens = append(tokens, n.lead.asks[0].token)
		n.lead.asks = n.lead.asks[1:]
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
			rounds = append(rounds, n.lead.progress[r.ID()].round)
		}
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-n.members.Quorum()]
}

func sorted(tokens []uint64) []uint64 {
	slices.Sort(tokens)
	return tokens
}
