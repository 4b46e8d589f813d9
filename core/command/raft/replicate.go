package raft

import (
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

// chunkRetryInterval is the time after which an unanswered snapshot chunk is sent again.
const chunkRetryInterval = 200 * clock.Millisecond

// sendAll sends new entries or snapshot chunks to all followers. With always set, each of them gets
// at least one message.
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
		if n.now.Sub(s.sent) >= chunkRetryInterval {
			n.sendChunk(id, p)
		}
	}
}

// stream sends entries until maxInFlight requests are unanswered, and reports whether it sent any.
func (n *Node) stream(id peer.ID, p *progress) bool {
	sent := false
	for len(p.inFlight) < maxInFlight && p.next <= n.log.last() {
		entries := n.log.entriesFrom(p.next, n.maxRequestBytes)
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

// onAccepted records which entries a follower has stored.
func (n *Node) onAccepted(from peer.ID, match peer.Index, round uint64) {
	p, ok := n.lead.progress[from]
	if !ok {
		return
	}
	n.recordContact(p, round)
	if match > n.log.last() {
		n.reportViolation("accept", CommittedLost, "%x stored %d, own log ends at %d", from, match, n.log.last())
		return
	}
	if match >= n.membersIndex {
		p.commitRound = max(p.commitRound, min(round, n.lead.round))
	}
	risen := match > p.match
	p.recordMatch(match)
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
	n.afterReply(from)
}

// afterReply continues replication to a follower, if this replica still leads, and takes the steps
// that may have waited for the reply.
func (n *Node) afterReply(from peer.ID) {
	n.answerConfirmRequests()
	p, ok := n.lead.progress[from]
	if !ok {
		return
	}
	n.sendTo(from, p, false)
	n.sendTimeoutNow()
	n.repairMembership()
}

// onRejected probes further back in the log, guided by the follower's hint.
func (n *Node) onRejected(from peer.ID, r peer.AppendRejected) {
	p, ok := n.lead.progress[from]
	if !ok {
		return
	}
	n.recordContact(p, r.Round())
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
	n.answerConfirmRequests()
}

// recordContact records a reply to a heartbeat round. The time of contact is the start of the round,
// since the follower was certainly alive at that time or later, while the reply may have been delayed for long.
func (n *Node) recordContact(p *progress, round uint64) {
	p.ackedRound = max(p.ackedRound, min(round, n.lead.round))
	for _, s := range slices.Backward(n.lead.roundStarts) {
		if s.round <= round {
			p.lastContact = max(p.lastContact, s.at)
			return
		}
	}
}
