package raft

import "verbenabank/core/state/peer"

// startTransfer picks the voter that is to take over.
func (n *Node) startTransfer() {
	if _, ok := n.role.(Leader); !ok || n.lead.target != 0 {
		return
	}
	var best peer.Index
	for _, r := range n.others() {
		p := n.lead.progress[r.ID()]
		if r.IsVoter() && n.lives(r.ID()) && p.match >= best {
			best, n.lead.target = p.match, r.ID()
		}
	}
	if n.lead.target == 0 {
		return
	}
	n.timer.transfer = n.now.Add(ElectionMax)
	n.handOver()
}

// handOver asks the target to start an election once it has the whole log.
func (n *Node) handOver() {
	p, ok := n.lead.progress[n.lead.target]
	if ok && p.match == n.log.last() {
		n.send(n.lead.target, n.term, peer.TimeoutNow{})
	}
}

// endTransfer gives up a handover.
func (n *Node) endTransfer() {
	n.timer.transfer = Never
	n.lead.target = 0
}
