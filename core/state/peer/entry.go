package peer

// Payload is the content of a log entry: Noop, Command or MembershipChange.
type Payload interface{ payload() }

// Noop is the empty entry that a new leader appends first, so that it can commit entries of
// earlier terms.
type Noop struct{}

// Command is an encoded command for the replicated state machine.
type Command struct{ data []byte }

// NewCommand returns the payload with data, which must not be modified afterwards.
func NewCommand(data []byte) Command { return Command{data: data} }

// Data returns the encoded command. The caller must not modify it.
func (c Command) Data() []byte { return c.data }

// MembershipChange sets the members of the group from the index of its entry on.
type MembershipChange struct{ members Members }

// NewMembershipChange returns the payload that sets the members.
func NewMembershipChange(m Members) MembershipChange { return MembershipChange{members: m} }

// Members returns the members of the group from the index of the entry on.
func (c MembershipChange) Members() Members { return c.members }

func (Noop) payload()             {}
func (Command) payload()          {}
func (MembershipChange) payload() {}

// Entry is one entry of the log.
type Entry struct {
	index   Index
	term    Term
	payload Payload
}

// NewEntry returns the entry at index i that a leader of term t appended.
func NewEntry(i Index, t Term, p Payload) Entry { return Entry{index: i, term: t, payload: p} }

// Index returns the index in the log.
func (e Entry) Index() Index { return e.index }

// Term returns the term of the leader that appended the entry.
func (e Entry) Term() Term { return e.term }

// Payload returns the content of the entry.
func (e Entry) Payload() Payload { return e.payload }

// entryOverhead is an estimate of the encoded size of an entry without its command, in bytes.
const entryOverhead = 32

// Size returns the approximate encoded size in bytes.
func (e Entry) Size() int {
	switch p := e.payload.(type) {
	case Noop:
		return entryOverhead
	case Command:
		return entryOverhead + len(p.data)
	case MembershipChange:
		return entryOverhead * (1 + len(p.members.replicas))
	}
	return entryOverhead
}
