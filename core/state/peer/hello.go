package peer

// Hello is the first message of the discovery handshake. A replica without a group sends it
// to the addresses in its settings.
//
// The handshake messages Hello, HelloReply and Bootstrap carry nonces: each side draws one for
// the address of the other. A message that echoes the newest nonce is from the replica
// that currently runs at that address; a delayed copy of an older message does not echo it.
type Hello struct {
	nonce uint64
	echo  uint64
}

// NewHello returns the message with a nonce for the receiver, and the last nonce from the
// receiver, 0 if there is none.
func NewHello(nonce, echo uint64) Hello { return Hello{nonce: nonce, echo: echo} }

// Nonce returns the nonce that the receiver is to echo.
func (h Hello) Nonce() uint64 { return h.nonce }

// Echo returns the last nonce from the receiver, 0 if there is none.
func (h Hello) Echo() uint64 { return h.echo }

// HelloReply is the reply to Hello. The group of the message is 0 if the sender has none.
type HelloReply struct {
	nonce       uint64
	echo        uint64
	echoMatched bool
	voter       bool
	leader      string
}

// NewHelloReply returns the reply with a nonce for the next message and the nonce of the Hello
// that it answers. echoMatched reports that this Hello echoed the last nonce, and voter that its
// sender is a voter in the committed membership of the group.
func NewHelloReply(nonce, echo uint64, echoMatched, voter bool) HelloReply {
	return HelloReply{nonce: nonce, echo: echo, echoMatched: echoMatched, voter: voter}
}

// WithLeader returns the reply with the address of the leader, "" if it is not known.
func (r HelloReply) WithLeader(address string) HelloReply {
	r.leader = address
	return r
}

// Leader returns the address of the leader, "" if it is not known.
func (r HelloReply) Leader() string { return r.leader }

// Voter reports whether the receiver is a voter in the committed membership of the group of the
// sender.
func (r HelloReply) Voter() bool { return r.voter }

// Nonce returns the nonce to echo in the next message.
func (r HelloReply) Nonce() uint64 { return r.nonce }

// Echo returns the nonce of the Hello that this is the reply to.
func (r HelloReply) Echo() uint64 { return r.echo }

// EchoMatched reports whether the Hello echoed the last nonce.
func (r HelloReply) EchoMatched() bool { return r.echoMatched }

// Bootstrap bootstraps the group of the message with its initial members.
type Bootstrap struct {
	members Members
	echo    uint64
}

// NewBootstrap returns the message with the initial members and the last nonce from the receiver.
func NewBootstrap(m Members, echo uint64) Bootstrap { return Bootstrap{members: m, echo: echo} }

// Members returns the initial members.
func (b Bootstrap) Members() Members { return b.members }

// Echo returns the last nonce from the receiver.
func (b Bootstrap) Echo() uint64 { return b.echo }
