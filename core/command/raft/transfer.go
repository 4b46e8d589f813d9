package raft

import "verbenabank/core/state/peer"

// startTransfer selects the most up-to-date active voter as the transferee.
func (n *Node) startTransfer() {
	if _, ok := n.role.(Leader); !ok || n.lead.transferee != 0 {
		return
	}
	var best peer.Index
	for _, r := range n.others() {
		p := n.lead.progress[r.ID()]
		if r.IsVoter() && n.recentlyActive(r.ID()) && p.match >= best {
			best, n.lead.transferee = p.match, r.ID()
		}
	}
	if n.lead.transferee == 0 {
		return
	}
	n.timer.transfer = n.now.Add(n.electionTimeoutMax())
	n.sendTimeoutNow()
}

// sendTimeoutNow tells the transferee to start an election once it has the whole log.
func (n *Node) sendTimeoutNow() {
	p, ok := n.lead.progress[n.lead.transferee]
	if ok && p.match == n.log.last() {
		n.send(n.lead.transferee, n.term, peer.TimeoutNow{})
	}
}

// abortTransfer gives up a transfer, so that proposals are accepted again.
func (n *Node) abortTransfer() {
	n.timer.transfer = Never
	n.lead.transferee = 0
}
