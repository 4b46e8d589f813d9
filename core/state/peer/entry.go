package peer

// Payload is what an entry holds: Noop, Command or Change.
type Payload interface{ payload() }

// Noop is the entry with which a leader begins its term.
type Noop struct{}

// Command is an encoded command for the state machine.
type Command struct{ data []byte }

// NewCommand returns the payload with data, which must not be changed.
func NewCommand(data []byte) Command { return Command{data: data} }

// Data returns the encoded command, which must not be changed.
func (c Command) Data() []byte { return c.data }

// MembershipChange sets the members of the group from its index on.
type MembershipChange struct{ members Members }

// NewMembershipChange returns the payload that sets the members.
func NewMembershipChange(m Members) MembershipChange { return MembershipChange{members: m} }

// Members returns the members from the index on.
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

// Index returns the place in the log.
func (e Entry) Index() Index { return e.index }

// Term returns the term of the leader that appended the entry.
func (e Entry) Term() Term { return e.term }

// Payload returns what the entry holds.
func (e Entry) Payload() Payload { return e.payload }

// entryOverhead estimates the bytes of an entry besides its command.
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
