package peer

// Body is the content of a message: PreVoteRequest, PreVoteReply, VoteRequest,
// VoteReply, AppendRequest, AppendAccepted, AppendRejected, SnapshotChunk,
// SnapshotReply, Hello, HelloReply, Bootstrap or TimeoutNow.
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

// Message is sent from one replica to another. Messages may be lost, duplicated,
// delayed and reordered.
type Message struct {
	group   Group
	from    ID
	address string
	to      ID
	term    Term
	body    Body
}

// Header holds the sender and the receiver of a message.
type Header struct {
	group   Group
	from    ID
	address string
	to      ID
}

// NewHeader returns the header of a message within a group, from the replica at address to
// another one. to is 0 if the identity of the receiver is not known.
func NewHeader(g Group, from ID, address string, to ID) Header {
	return Header{group: g, from: from, address: address, to: to}
}

// NewMessage returns the message with a header, sent at term t.
func NewMessage(h Header, t Term, b Body) Message {
	return Message{group: h.group, from: h.from, address: h.address, to: h.to, term: t, body: b}
}

// Group returns the group of the sender, 0 if it has none.
func (m Message) Group() Group { return m.group }

// From returns the identity of the sender.
func (m Message) From() ID { return m.from }

// Address returns the address of the sender, as "ip:port".
func (m Message) Address() string { return m.address }

// To returns the identity of the receiver, 0 if the sender does not know it.
func (m Message) To() ID { return m.to }

// Term returns the term of the message. For a pre-vote that is the term of the proposed
// election, not the current one of the sender.
func (m Message) Term() Term { return m.term }

// Body returns the content.
func (m Message) Body() Body { return m.body }
