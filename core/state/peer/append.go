package peer

// AppendRequest carries log entries, the commit index and the heartbeat round of the leader.
type AppendRequest struct {
	previousIndex Index
	previousTerm  Term
	commit        Index
	round         uint64
	entries       []Entry
}

// NewAppendRequest returns the request of a heartbeat round whose entries follow the entry at
// index previous and term t.
func NewAppendRequest(previous Index, t Term, commit Index, round uint64, entries []Entry) AppendRequest {
	return AppendRequest{previousIndex: previous, previousTerm: t, commit: commit, round: round, entries: entries}
}

// PreviousIndex returns the index before the first entry.
func (r AppendRequest) PreviousIndex() Index { return r.previousIndex }

// PreviousTerm returns the term of the entry before the first one.
func (r AppendRequest) PreviousTerm() Term { return r.previousTerm }

// Commit returns the commit index of the leader.
func (r AppendRequest) Commit() Index { return r.commit }

// Round returns the heartbeat round.
func (r AppendRequest) Round() uint64 { return r.round }

// Entries returns the entries, none for a plain heartbeat. The caller must not modify the list.
func (r AppendRequest) Entries() []Entry { return r.entries }

// AppendAccepted reports that the log of the follower matches that of the leader up to an
// index, and is durable up to there.
type AppendAccepted struct {
	match Index
	round uint64
}

// NewAppendAccepted returns the reply to a request of the round.
func NewAppendAccepted(match Index, round uint64) AppendAccepted {
	return AppendAccepted{match: match, round: round}
}

// Match returns the index up to which the logs match and are durable.
func (a AppendAccepted) Match() Index { return a.match }

// Round returns the heartbeat round of the request.
func (a AppendAccepted) Round() uint64 { return a.round }

// AppendRejected reports that the log of the follower lacks the entry that precedes those of
// the request.
type AppendRejected struct {
	previous Index
	hint     Index
	round    uint64
}

// NewAppendRejected returns the reply to a request of the round whose entries follow previous.
// hint is an index at which the logs may match.
func NewAppendRejected(previous, hint Index, round uint64) AppendRejected {
	return AppendRejected{previous: previous, hint: hint, round: round}
}

// Previous returns the index before the first entry of the request.
func (a AppendRejected) Previous() Index { return a.previous }

// Hint returns an index at which the logs may match, from which the leader retries.
func (a AppendRejected) Hint() Index { return a.hint }

// Round returns the heartbeat round of the request.
func (a AppendRejected) Round() uint64 { return a.round }

// SnapshotChunk carries a part of a snapshot.
type SnapshotChunk struct {
	snapshot Snapshot
	offset   uint64
	last     bool
	round    uint64
}

// NewSnapshotChunk returns the chunk of a heartbeat round. The data of part is a piece of the
// data of the snapshot, starting at offset.
func NewSnapshotChunk(part Snapshot, offset uint64, last bool, round uint64) SnapshotChunk {
	return SnapshotChunk{snapshot: part, offset: offset, last: last, round: round}
}

// Part returns the snapshot with only the data of this chunk.
func (c SnapshotChunk) Part() Snapshot { return c.snapshot }

// Offset returns the position of the chunk in the data of the snapshot, in bytes.
func (c SnapshotChunk) Offset() uint64 { return c.offset }

// Last reports whether this is the last chunk of the snapshot.
func (c SnapshotChunk) Last() bool { return c.last }

// Round returns the heartbeat round.
func (c SnapshotChunk) Round() uint64 { return c.round }

// SnapshotReply is the reply to a SnapshotChunk.
type SnapshotReply struct {
	index Index
	next  uint64
	round uint64
}

// NewSnapshotReply returns the reply that asks for the data of the snapshot at index i from the
// offset next on. Once the snapshot is stored, the reply is AppendAccepted instead.
func NewSnapshotReply(i Index, next, round uint64) SnapshotReply {
	return SnapshotReply{index: i, next: next, round: round}
}

// Index returns the index of the snapshot.
func (r SnapshotReply) Index() Index { return r.index }

// Next returns the offset of the next chunk in bytes.
func (r SnapshotReply) Next() uint64 { return r.next }

// Round returns the heartbeat round of the chunk.
func (r SnapshotReply) Round() uint64 { return r.round }
