package peer

// Hello is how a replica without a group presents itself to the addresses in its
// settings.
//
// The greetings Hello, HelloReply and Form carry nonces: each side draws one for
// the address of the other, and a greeting that echoes the newest one comes from
// the replica that lives there now. A late copy of an old greeting does not.
type Hello struct {
	nonce uint64
	echo  uint64
}

// NewHello returns the greeting with a nonce for the receiver and the last nonce
// of the receiver, 0 if there is none.
func NewHello(nonce, echo uint64) Hello { return Hello{nonce: nonce, echo: echo} }

// Nonce returns the number for the receiver to echo.
func (h Hello) Nonce() uint64 { return h.nonce }

// Echo returns the last nonce of the receiver.
func (h Hello) Echo() uint64 { return h.echo }

// HelloReply answers Hello. The group of the message is 0 if the sender is blank.
type HelloReply struct {
	nonce  uint64
	echo   uint64
	known  bool
	voter  bool
	leader string
}

// NewHelloReply returns the answer with a nonce for the next greeting and the
// nonce of this one. known says that this one echoed the last nonce, and voter
// that committed members of the group have its sender as a voter.
func NewHelloReply(nonce, echo uint64, known, voter bool) HelloReply {
	return HelloReply{nonce: nonce, echo: echo, known: known, voter: voter}
}

// WithLeader returns the answer with the address of the leader, "" if it is not known.
func (r HelloReply) WithLeader(address string) HelloReply {
	r.leader = address
	return r
}

// Leader returns the address of the leader, "" if it is not known.
func (r HelloReply) Leader() string { return r.leader }

// Voter reports whether committed members of the sender's group have the
// receiver as a voter.
func (r HelloReply) Voter() bool { return r.voter }

// Nonce returns the number to echo in the next greeting.
func (r HelloReply) Nonce() uint64 { return r.nonce }

// Echo returns the nonce of the greeting that is answered.
func (r HelloReply) Echo() uint64 { return r.echo }

// EchoMatched reports whether the greeting echoed the last nonce.
func (r HelloReply) EchoMatched() bool { return r.known }

// Bootstrap founds the group of the message with its first members.
type Bootstrap struct {
	members Members
	echo    uint64
}

// NewBootstrap returns the founding with the members and the last nonce of the
// receiver.
func NewBootstrap(m Members, echo uint64) Bootstrap { return Bootstrap{members: m, echo: echo} }

// Members returns the first members.
func (f Bootstrap) Members() Members { return f.members }

// Echo returns the last nonce of the receiver.
func (f Bootstrap) Echo() uint64 { return f.echo }
