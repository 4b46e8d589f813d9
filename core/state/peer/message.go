package peer

// Body is the content of a message: PreVoteRequest, PreVoteReply, VoteRequest,
// VoteReply, AppendRequest, AppendAccepted, AppendRejected, SnapshotChunk,
// SnapshotReply, Hello, HelloReply, Form or TimeoutNow.
type Body interface{ body() }

func (PreVoteRequest) body() {}
func (PreVoteReply) body()   {}
func (VoteRequest) body()    {}
func (VoteReply) body()      {}
func (AppendRequest) body()  {}
func (AppendAccepted) body() {}
func (AppendRejected) body() {}
func (SnapshotChunk) body()  {}
func (SnapshotReply) body()  {}
func (Hello) body()          {}
func (HelloReply) body()     {}
func (Bootstrap) body()      {}
func (TimeoutNow) body()     {}

// Message goes from one replica to another. Messages may be lost, doubled,
// delayed and reordered.
type Message struct {
	group   Group
	from    ID
	address string
	to      ID
	term    Term
	body    Body
}

// Header says between which replicas a message goes.
type Header struct {
	group   Group
	from    ID
	address string
	to      ID
}

// NewHeader returns the route within a group from the replica at address to
// another one, which is 0 if its identity is not known.
func NewHeader(g Group, from ID, address string, to ID) Header {
	return Header{group: g, from: from, address: address, to: to}
}

// NewMessage returns the message of a sender at a term.
func NewMessage(r Header, t Term, b Body) Message {
	return Message{group: r.group, from: r.from, address: r.address, to: r.to, term: t, body: b}
}

// Group returns the group of the sender, 0 if it has none.
func (m Message) Group() Group { return m.group }

// From returns the sender.
func (m Message) From() ID { return m.from }

// Address returns where the sender is reached, as "ip:port".
func (m Message) Address() string { return m.address }

// To returns the receiver, 0 if the sender does not know its identity.
func (m Message) To() ID { return m.to }

// Term returns the term that the message speaks for.
func (m Message) Term() Term { return m.term }

// Body returns the content.
func (m Message) Body() Body { return m.body }
