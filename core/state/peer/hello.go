package peer

// Hello is how a blank replica presents itself to the addresses in its settings.
type Hello struct{ echo uint64 }

// NewHello returns the greeting with the nonce of the receiver's last answer, 0
// if it gave none.
func NewHello(echo uint64) Hello { return Hello{echo: echo} }

// Echo returns the nonce of the receiver's last answer. It proves that the
// sender lives, so that a late copy of an old greeting has no effect.
func (h Hello) Echo() uint64 { return h.echo }

// HelloReply answers Hello. The group of the message is 0 if the sender is blank.
type HelloReply struct{ nonce uint64 }

// NewHelloReply returns the answer with a nonce for the next greeting.
func NewHelloReply(nonce uint64) HelloReply { return HelloReply{nonce: nonce} }

// Nonce returns the number to echo in the next greeting.
func (r HelloReply) Nonce() uint64 { return r.nonce }

// Form founds the group of the message with its first members.
type Form struct{ members Members }

// NewForm returns the founding with the members.
func NewForm(m Members) Form { return Form{members: m} }

// Members returns the first members.
func (f Form) Members() Members { return f.members }
