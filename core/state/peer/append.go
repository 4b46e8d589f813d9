package peer

// AppendRequest brings entries, the commit index and a heartbeat round.
type AppendRequest struct {
	previousIndex Index
	previousTerm  Term
	commit        Index
	round         uint64
	entries       []Entry
}

// NewAppendRequest returns the request whose entries follow the one at previous
// of term t, sent in the heartbeat round.
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

// Entries returns the entries, which must not be changed.
func (r AppendRequest) Entries() []Entry { return r.entries }

// AppendAccepted says that the log up to match equals the leader's and is
// durable.
type AppendAccepted struct {
	match Index
	round uint64
}

// NewAppendAccepted returns the answer to a request of the round.
func NewAppendAccepted(match Index, round uint64) AppendAccepted {
	return AppendAccepted{match: match, round: round}
}

// Match returns the index up to which the logs are equal and durable.
func (a AppendAccepted) Match() Index { return a.match }

// Round returns the heartbeat round of the request.
func (a AppendAccepted) Round() uint64 { return a.round }

// AppendRejected says that the log lacks the entry before the request's first.
type AppendRejected struct {
	previous Index
	hint     Index
	round    uint64
}

// NewAppendRejected returns the answer to a request of the round after previous.
// hint is an index at which the logs may be equal.
func NewAppendRejected(previous, hint Index, round uint64) AppendRejected {
	return AppendRejected{previous: previous, hint: hint, round: round}
}

// Previous returns the index before the first entry of the request.
func (a AppendRejected) Previous() Index { return a.previous }

// Hint returns an index at which the logs may be equal.
func (a AppendRejected) Hint() Index { return a.hint }

// Round returns the heartbeat round of the request.
func (a AppendRejected) Round() uint64 { return a.round }

// SnapshotChunk brings a part of a snapshot.
type SnapshotChunk struct {
	snapshot Snapshot
	offset   uint64
	last     bool
	round    uint64
}

// NewSnapshotChunk returns the chunk whose data is part of the data of the
// whole, from offset on, sent in the heartbeat round.
func NewSnapshotChunk(part Snapshot, offset uint64, last bool, round uint64) SnapshotChunk {
	return SnapshotChunk{snapshot: part, offset: offset, last: last, round: round}
}

// Part returns the snapshot with only the data of this chunk.
func (c SnapshotChunk) Part() Snapshot { return c.snapshot }

// Offset returns where in the data the chunk begins, in bytes.
func (c SnapshotChunk) Offset() uint64 { return c.offset }

// Last reports whether the chunk ends the data.
func (c SnapshotChunk) Last() bool { return c.last }

// Round returns the heartbeat round.
func (c SnapshotChunk) Round() uint64 { return c.round }

// SnapshotReply answers a SnapshotChunk.
type SnapshotReply struct {
	index Index
	next  uint64
	round uint64
}

// NewSnapshotReply returns the answer that asks for the data of the snapshot at
// i from next on. A snapshot that was stored is answered by AppendAccepted.
func NewSnapshotReply(i Index, next, round uint64) SnapshotReply {
	return SnapshotReply{index: i, next: next, round: round}
}

// Index returns the index of the snapshot.
func (r SnapshotReply) Index() Index { return r.index }

// Next returns the offset of the next chunk in bytes.
func (r SnapshotReply) Next() uint64 { return r.next }

// Round returns the heartbeat round of the chunk.
func (r SnapshotReply) Round() uint64 { return r.round }
