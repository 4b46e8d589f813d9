package raft

import "verbenabank/core/state/peer"

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	leader peer.ID
	index  peer.Index
	term   peer.Term
	data   []byte
}

// compact stores a snapshot of the applied state and discards the log before it, except for the
// trailing entries.
func (n *Node) compact(c SnapshotTaken) {
	if c.index <= n.snapshot.Index() || c.index > n.applied || c.index <= n.log.base {
		return
	}
	members, _ := n.log.membersAt(c.index)
	n.keepSnapshot(peer.NewSnapshot(c.index, n.log.termAt(c.index), members, c.data))
	if i := n.log.trailingFrom(c.index, n.trailing, n.trailingBytes); i > n.log.base {
		n.log.compact(i)
	}
}

// keepSnapshot puts a snapshot, and all entries after it, into the next batch.
func (n *Node) keepSnapshot(s peer.Snapshot) {
	n.snapshot = s
	n.disk.snapshot = s
	n.disk.entries = nil
	if s.Index() < n.log.last() {
		n.disk.entries = append(n.disk.entries, n.log.entries[s.Index()-n.log.base:]...)
	}
	n.disk.dirty = true
}

// sendChunk sends the next chunk of the snapshot that is being installed.
func (n *Node) sendChunk(id peer.ID, p *progress) {
	s, ok := p.state.(installing)
	if !ok {
		return
	}
	data := s.snapshot.Data()
	begin := min(s.offset, uint64(len(data)))
	end := min(begin+uint64(n.chunkSize), uint64(len(data)))
	part := peer.NewSnapshot(s.snapshot.Index(), s.snapshot.Term(), s.snapshot.Members(), data[begin:end])
	s.sent = n.now
	p.state = s
	n.send(id, n.term, peer.NewSnapshotChunk(part, begin, end == uint64(len(data)), n.lead.round))
}

// onSnapshotReply sends the chunk that the follower asks for.
func (n *Node) onSnapshotReply(from peer.ID, r peer.SnapshotReply) {
	p, ok := n.lead.progress[from]
	if !ok {
		return
	}
	n.recordContact(p, r.Round())
	if s, ok := p.state.(installing); ok && r.Index() == s.snapshot.Index() && r.Next() != s.offset {
		s.offset = r.Next()
		p.state = s
		n.sendChunk(from, p)
	}
	n.answerConfirmRequests()
}

// onChunk collects the chunks of a snapshot from the leader and installs it when it is complete.
func (n *Node) onChunk(m peer.Message, c peer.SnapshotChunk) {
	if !n.acceptLeader(m) {
		return
	}
	part := c.Part()
	if part.Index() <= n.commit {
		n.acknowledge(m.From(), part.Index(), c.Round())
		return
	}
	in := &n.incoming
	if in.leader != m.From() || in.index != part.Index() || in.term != m.Term() {
		*in = incomingSnapshot{leader: m.From(), index: part.Index(), term: m.Term()}
	}
	have := uint64(len(in.data))
	if c.Offset() != have {
		n.reply(m.From(), peer.NewSnapshotReply(part.Index(), have, c.Round()))
		return
	}
	in.data = append(in.data, part.Data()...)
	if !c.Last() {
		n.reply(m.From(), peer.NewSnapshotReply(part.Index(), uint64(len(in.data)), c.Round()))
		return
	}
	data := in.data
	*in = incomingSnapshot{}
	n.install(peer.NewSnapshot(part.Index(), part.Term(), part.Members(), data))
	n.acknowledge(m.From(), part.Index(), c.Round())
}

// install adopts a snapshot that is ahead of the commit index. If the log has the snapshot's last
// entry already, it only commits up to there.
func (n *Node) install(s peer.Snapshot) {
	if n.log.matches(s.Index(), s.Term()) {
		n.commitTo(s.Index())
		return
	}
	n.log.reset(s)
	n.disk.durableIndex, n.disk.batchEnds = 0, nil
	n.commit, n.applied = s.Index(), s.Index()
	n.committedMembers = s.Members()
	n.setMembers(s.Members(), s.Index())
	n.keepSnapshot(s)
	n.emit(Restore{snapshot: s})
	n.refreshRole()
}
