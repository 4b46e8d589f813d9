package raft

import "verbenabank/core/state/peer"

// onAppendRequest takes entries from the leader.
func (n *Node) onAppendRequest(m peer.Message, r peer.AppendRequest) {
	if !n.obey(m) || !contiguous(r, m.Term()) {
		return
	}
	previous, entries := r.PreviousIndex(), r.Entries()
	if skip := min(int(n.log.base)-int(previous), len(entries)); skip > 0 {
		previous += peer.Index(skip)
		entries = entries[skip:]
	}
	if previous >= n.log.base && !n.matchesAt(previous, r) {
		n.reply(m.From(), peer.NewAppendRejected(r.PreviousIndex(), n.log.hint(previous, n.commit), r.Round()))
		return
	}
	n.merge(entries)
	if n.failed != nil {
		return
	}
	match := r.PreviousIndex() + peer.Index(len(r.Entries()))
	n.commitTo(max(n.commit, min(r.Commit(), match)))
	n.acknowledge(m.From(), match, r.Round())
}

// matchesAt reports whether the log holds the entry at i that the leader has.
func (n *Node) matchesAt(i peer.Index, r peer.AppendRequest) bool {
	if i == r.PreviousIndex() {
		return n.log.matches(i, r.PreviousTerm())
	}
	return n.log.matches(i, r.Entries()[i-r.PreviousIndex()-1].Term())
}

// contiguous reports whether the entries follow each other and are of no later
// term than the leader's.
func contiguous(r peer.AppendRequest, leader peer.Term) bool {
	i, t := r.PreviousIndex(), r.PreviousTerm()
	for _, e := range r.Entries() {
		i++
		if e.Index() != i || e.Term() < t || e.Term() > leader {
			return false
		}
		t = e.Term()
	}
	return t <= leader
}

// merge adds the entries that the log lacks, in place of those that conflict.
func (n *Node) merge(entries []peer.Entry) {
	for k, e := range entries {
		if n.log.matches(e.Index(), e.Term()) {
			continue
		}
		if e.Index() <= n.log.last() {
			n.cutLog(e.Index())
		}
		if n.failed == nil {
			n.appendLog(entries[k:]...)
		}
		return
	}
}

// acknowledge says what is durable of the log up to match, at once and again
// when more of it is.
func (n *Node) acknowledge(leader peer.ID, match peer.Index, round uint64) {
	if match <= n.disk.durable {
		n.reply(leader, peer.NewAppendAccepted(match, round))
		return
	}
	n.reply(leader, peer.NewAppendAccepted(n.disk.durable, round))
	n.sendDurable(leader, peer.NewAppendAccepted(match, 0))
}

// reply answers at once if the present term is durable, else once it is.
func (n *Node) reply(to peer.ID, b peer.Body) {
	if n.promiseDurable() {
		n.send(to, n.term, b)
		return
	}
	n.sendDurable(to, b)
}
