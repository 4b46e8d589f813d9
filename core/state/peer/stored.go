package peer

// HardState is the state besides the log and the snapshot that a replica must keep across restarts.
type HardState struct {
	id     ID
	group  Group
	term   Term
	vote   ID
	commit Index
}

// NewHardState returns the hard state of a replica in a group (0 if none), at a term
// in which it voted for vote (0 if for none), with the log committed up to commit.
func NewHardState(id ID, g Group, t Term, vote ID, commit Index) HardState {
	return HardState{id: id, group: g, term: t, vote: vote, commit: commit}
}

// ID returns the identity of the replica.
func (h HardState) ID() ID { return h.id }

// Group returns the group, 0 if the replica has none yet.
func (h HardState) Group() Group { return h.group }

// Term returns the current term.
func (h HardState) Term() Term { return h.term }

// Vote returns the replica voted for in the current term, 0 if none.
func (h HardState) Vote() ID { return h.vote }

// Commit returns an index up to which the log is known to be committed.
func (h HardState) Commit() Index { return h.commit }

// Snapshot is the state after all entries up to an index. The zero value stands
// for the empty state at index 0.
type Snapshot struct {
	index   Index
	term    Term
	members Members
	data    []byte
}

// NewSnapshot returns the snapshot after the entry at index i of term t, with
// the members at that index. data must not be modified afterwards.
func NewSnapshot(i Index, t Term, m Members, data []byte) Snapshot {
	return Snapshot{index: i, term: t, members: m, data: data}
}

// Index returns the index of the last entry in the snapshot.
func (s Snapshot) Index() Index { return s.index }

// Term returns the term of the last entry in the snapshot.
func (s Snapshot) Term() Term { return s.term }

// Members returns the members of the group at the index.
func (s Snapshot) Members() Members { return s.members }

// Data returns the encoded state. The caller must not modify it.
func (s Snapshot) Data() []byte { return s.data }

// Batch is what one step of a replica writes to its storage, atomically.
type Batch struct {
	sequence  uint64
	hardState HardState
	snapshot  Snapshot
	entries   []Entry
}

// NewBatch returns the batch with the sequence number, the new hard state, a new snapshot
// (index 0 if there is none) and entries. The entries replace all stored entries from the
// index of the first one on. The snapshot replaces all stored entries up to its index, or all
// stored entries if none of them has its index and term.
func NewBatch(sequence uint64, h HardState, s Snapshot, entries []Entry) Batch {
	return Batch{sequence: sequence, hardState: h, snapshot: s, entries: entries}
}

// Sequence returns the sequence number. It starts at 1 and increases by 1 for each batch.
func (b Batch) Sequence() uint64 { return b.sequence }

// HardState returns the new hard state.
func (b Batch) HardState() HardState { return b.hardState }

// Snapshot returns the new snapshot, at index 0 if there is none.
func (b Batch) Snapshot() Snapshot { return b.snapshot }

// Entries returns the entries. The caller must not modify the list.
func (b Batch) Entries() []Entry { return b.entries }

// StoredState is the content of the storage of a replica, as read at its start. The zero value is
// an empty storage.
type StoredState struct {
	hardState HardState
	snapshot  Snapshot
	entries   []Entry
}

// NewStoredState returns the content of a storage. entries are those after the snapshot.
func NewStoredState(h HardState, s Snapshot, entries []Entry) StoredState {
	return StoredState{hardState: h, snapshot: s, entries: entries}
}

// HardState returns the hard state.
func (s StoredState) HardState() HardState { return s.hardState }

// Snapshot returns the newest snapshot, at index 0 if there is none.
func (s StoredState) Snapshot() Snapshot { return s.snapshot }

// Entries returns the entries after the snapshot. The caller must not modify the list.
func (s StoredState) Entries() []Entry { return s.entries }
