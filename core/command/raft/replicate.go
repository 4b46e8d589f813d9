package raft

import (
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

// chunkRetry is how long a chunk of a snapshot may stay unanswered.
const chunkRetry = 200 * clock.Millisecond

// sendAll brings all followers forward. With always each of them gets at least
// one message.
func (n *Node) sendAll(always bool) {
	for _, r := range n.others() {
		n.sendTo(r.ID(), n.lead.progress[r.ID()], always)
	}
}

func (n *Node) sendTo(id peer.ID, p *progress, always bool) {
	if _, ok := p.state.(installing); !ok && p.next <= n.log.base {
		p.state = installing{snapshot: n.snapshot, sent: n.now}
		p.inFlight = nil
		n.sendChunk(id, p)
	}
	switch s := p.state.(type) {
	case probing:
		if always {
			n.sendEntries(id, p.next-1, nil)
		}
	case streaming:
		if !n.stream(id, p) && always {
			n.sendEntries(id, p.next-1, nil)
		}
	case installing:
		if always {
			n.sendEntries(id, 0, nil)
		}
		if n.now.Sub(s.sent) >= chunkRetry {
			n.sendChunk(id, p)
		}
	}
}

// stream sends entries as far as the follower may have requests unanswered, and
// reports whether it sent any.
func (n *Node) stream(id peer.ID, p *progress) bool {
	sent := false
	for len(p.inFlight) < maxInFlight && p.next <= n.log.last() {
		entries := n.log.from(p.next, n.limit)
		n.sendEntries(id, p.next-1, entries)
		p.next += peer.Index(len(entries))
		p.inFlight = append(p.inFlight, p.next-1)
		sent = true
	}
	return sent
}

func (n *Node) sendEntries(id peer.ID, previous peer.Index, entries []peer.Entry) {
	t := n.log.termAt(previous)
	n.send(id, n.term, peer.NewAppendRequest(previous, t, n.commit, n.lead.round, entries))
}

// onAccepted takes note of what a follower has stored.
func (n *Node) onAccepted(from peer.ID, match peer.Index, round uint64) {
	p, ok := n.lead.progress[from]
	if !ok {
		return
	}
	n.heard(p, round)
	if match > n.log.last() {
		n.violate("accept", CommittedLost, "%x stored %d, own log ends at %d", from, match, n.log.last())
		return
	}
	if match >= n.changed {
		p.told = max(p.told, min(round, n.lead.round))
	}
	risen := match > p.match
	p.acknowledged(match)
	switch s := p.state.(type) {
	case probing:
		if match >= p.next-1 {
			p.state = streaming{}
		}
	case streaming:
	case installing:
		if match >= s.snapshot.Index() {
			p.state = streaming{}
		}
	}
	if risen {
		n.advanceCommit()
	}
	n.answered(from)
}

// answered goes on with a follower, if this replica still leads.
func (n *Node) answered(from peer.ID) {
	n.checkConfirm()
	p, ok := n.lead.progress[from]
	if !ok {
		return
	}
	n.sendTo(from, p, false)
	n.handOver()
	n.repair()
}

// onRejected goes back to where the logs may be equal.
func (n *Node) onRejected(from peer.ID, r peer.AppendRejected) {
	p, ok := n.lead.progress[from]
	if !ok {
		return
	}
	n.heard(p, r.Round())
	switch p.state.(type) {
	case probing:
		if r.Previous() != p.next-1 {
			break
		}
		p.probe(min(r.Previous(), r.Hint()+1))
		n.sendTo(from, p, true)
	case streaming:
		if r.Previous() <= p.match {
			break
		}
		p.probe(min(r.Previous(), r.Hint()+1))
		n.sendTo(from, p, true)
	case installing:
	}
	n.checkConfirm()
}

// heard takes note of an answer to a round. The follower surely lived when the
// round started; the answer may have been on its way for long.
func (n *Node) heard(p *progress, round uint64) {
	p.round = max(p.round, min(round, n.lead.round))
	for _, s := range slices.Backward(n.lead.starts) {
		if s.round <= round {
			p.heard = max(p.heard, s.at)
			return
		}
	}
}
