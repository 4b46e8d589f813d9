package raft

import "verbenabank/core/state/peer"

// onAppendRequest handles entries or a heartbeat from the leader. Entries up to the start of the
// in-memory log are skipped, since they are committed and compacted already.
func (n *Node) onAppendRequest(m peer.Message, r peer.AppendRequest) {
	if !n.acceptLeader(m) || !contiguous(r, m.Term()) {
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

// matchesAt reports whether the entry at index i of the local log is the one the leader's request
// implies: its previous entry, or one of the entries it carries.
func (n *Node) matchesAt(i peer.Index, r peer.AppendRequest) bool {
	if i == r.PreviousIndex() {
		return n.log.matches(i, r.PreviousTerm())
	}
	return n.log.matches(i, r.Entries()[i-r.PreviousIndex()-1].Term())
}

// contiguous reports whether the entries have consecutive indexes and non-decreasing terms, none
// later than the leader's.
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

// merge appends the entries that the log lacks. From the first conflicting entry on, the local log
// is truncated and replaced.
func (n *Node) merge(entries []peer.Entry) {
	for k, e := range entries {
		if n.log.matches(e.Index(), e.Term()) {
			continue
		}
		if e.Index() <= n.log.last() {
			n.truncateLog(e.Index())
		}
		if n.failed == nil {
			n.appendLog(entries[k:]...)
		}
		return
	}
}

// acknowledge reports to the leader the part of the log up to match that is durable now, and reports
// match once all of it is.
func (n *Node) acknowledge(leader peer.ID, match peer.Index, round uint64) {
	if match <= n.disk.durableIndex {
		n.reply(leader, peer.NewAppendAccepted(match, round))
		return
	}
	n.reply(leader, peer.NewAppendAccepted(n.disk.durableIndex, round))
	n.sendDurable(leader, peer.NewAppendAccepted(match, 0))
}

// reply sends b at once if the current term and vote are durable, otherwise as soon as they are.
func (n *Node) reply(to peer.ID, b peer.Body) {
	if n.hardStateDurable() {
		n.send(to, n.term, b)
		return
	}
	n.sendDurable(to, b)
}
