package peer

// HardState is what a replica must remember over a restart besides its log.
type HardState struct {
	id     ID
	group  Group
	term   Term
	vote   ID
	commit Index
}

// NewHardState returns the hard state of a replica in a group (0 if none), at a term
// in which it voted for vote (0 if for none), with all up to commit committed.
func NewHardState(id ID, g Group, t Term, vote ID, commit Index) HardState {
	return HardState{id: id, group: g, term: t, vote: vote, commit: commit}
}

// ID returns the identity of the replica.
func (h HardState) ID() ID { return h.id }

// Group returns the group, 0 if the replica is blank.
func (h HardState) Group() Group { return h.group }

// Term returns the latest term.
func (h HardState) Term() Term { return h.term }

// Vote returns whom the replica voted for in the term, 0 if for none.
func (h HardState) Vote() ID { return h.vote }

// Commit returns an index up to which the log is surely committed.
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
// the members of that index. data must not be changed.
func NewSnapshot(i Index, t Term, m Members, data []byte) Snapshot {
	return Snapshot{index: i, term: t, members: m, data: data}
}

// Index returns the index of the last entry in the snapshot.
func (s Snapshot) Index() Index { return s.index }

// Term returns the term of the last entry in the snapshot.
func (s Snapshot) Term() Term { return s.term }

// Members returns the members of the group at the index.
func (s Snapshot) Members() Members { return s.members }

// Data returns the encoded state, which must not be changed.
func (s Snapshot) Data() []byte { return s.data }

// Batch is what one step of a replica adds to its storage, as a whole or not at
// all.
type Batch struct {
	sequence uint64
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

// NewBatch returns the batch with the sequence number, the hard state from now
// on, a newer snapshot (index 0 if there is none) and entries. The entries
// replace all stored ones from the first of them on. The snapshot replaces
// all stored entries up to its index, and all entries if none
// stored has its index and term.
func NewBatch(sequence uint64, h HardState, s Snapshot, entries []Entry) Batch {
	return Batch{sequence: sequence, hard: h, snapshot: s, entries: entries}
}

// Sequence returns the number of the batch. Numbers grow by 1 from 1.
func (b Batch) Sequence() uint64 { return b.sequence }

// HardState returns the hard state from now on.
func (b Batch) HardState() HardState { return b.hard }

// Snapshot returns the newer snapshot, at index 0 if there is none.
func (b Batch) Snapshot() Snapshot { return b.snapshot }

// Entries returns the entries, which must not be changed.
func (b Batch) Entries() []Entry { return b.entries }

// StoredState is all that a replica finds in its storage when it starts. The zero
// value is an empty storage.
type StoredState struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

// NewStoredState returns the content of a storage. The entries follow the snapshot.
func NewStoredState(h HardState, s Snapshot, entries []Entry) StoredState {
	return StoredState{hard: h, snapshot: s, entries: entries}
}

// HardState returns the hard state.
func (s StoredState) HardState() HardState { return s.hard }

// Snapshot returns the newest snapshot, at index 0 if there is none.
func (s StoredState) Snapshot() Snapshot { return s.snapshot }

// Entries returns the entries after the snapshot, which must not be changed.
func (s StoredState) Entries() []Entry { return s.entries }
