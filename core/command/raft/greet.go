package raft

import (
	"maps"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

// greeting is what a replica learns from Hello and its answers.
type greeting struct {
	nonces  map[string]*nonces // by address
	answers map[string]answer  // of blank replicas to this one, by address
	leaders map[string]bool    // addresses that members named as the leader's
}

// nonces are those between this replica and an address.
type nonces struct {
	issued uint64  // to be echoed by whoever lives there
	last   uint64  // the one issued before, 0 if it is void
	id     peer.ID // who echoed the last one
	echo   uint64  // the last one that came from there
	again  bool    // whether to greet again as soon as there is one to echo
}

// answer is a blank replica's answer to Hello.
type answer struct {
	id peer.ID
	at clock.Millis
}

func newGreeting() greeting {
	return greeting{nonces: map[string]*nonces{}, answers: map[string]answer{}, leaders: map[string]bool{}}
}

// noncesOf returns the nonces between this replica and an address.
func (n *Node) noncesOf(address string) *nonces {
	x, ok := n.greet.nonces[address]
	if !ok {
		x = &nonces{issued: n.draw()}
		n.greet.nonces[address] = x
	}
	return x
}

// proves reports whether an echo proves that its sender lives at an address. A
// nonce that was echoed counts for one more greeting of the same replica, since
// both sides greet at their own time, and for no other replica.
func (n *Node) proves(m peer.Message, echo uint64) bool {
	x := n.noncesOf(m.Address())
	switch {
	case echo == x.issued && m.From() == x.id:
		x.last, x.issued = x.issued, n.draw()
	case echo == x.issued:
		x.id, x.last, x.issued = m.From(), 0, n.draw()
	case echo == 0 || echo != x.last || m.From() != x.id:
		return false
	}
	return true
}

// seed reports whether the settings name the address of another replica.
func (n *Node) seed(address string) bool {
	if address == n.address {
		return false
	}
	for _, s := range n.seeds {
		if s == address {
			return true
		}
	}
	_, ok := n.members.FindByAddress(address)
	return ok
}

// greets reports whether greetings from an address are taken.
func (n *Node) greets(address string) bool {
	return address != n.address && (n.open || n.seed(address))
}

// known returns the addresses at which other replicas may be.
func (n *Node) known() []string {
	if !n.open {
		return n.seeds
	}
	set := map[string]bool{}
	for _, s := range n.seeds {
		set[s] = true
	}
	for a := range n.greet.leaders {
		set[a] = true
	}
	for _, r := range n.members.List() {
		set[r.Address()] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// sayHello presents this replica to all addresses in its settings.
func (n *Node) sayHello() {
	n.timer.hello = n.now.Add(HelloEvery)
	for _, s := range n.known() {
		if s == n.address {
			continue
		}
		x := n.noncesOf(s)
		x.again = true
		n.greetAt(s, 0, peer.NewHello(x.issued, x.echo))
	}
	n.found()
}

// greetAt sends to an address once the own identity is durable.
func (n *Node) greetAt(address string, to peer.ID, b peer.Body) {
	n.afterSync(func() {
		route := peer.NewHeader(n.entered(), n.id, n.address, to)
		n.emit(Send{address: address, message: peer.NewMessage(route, n.term, b)})
	})
}

// onHello answers a replica that has no group, or that its group does not know.
func (n *Node) onHello(m peer.Message, h peer.Hello) {
	if !n.greets(m.Address()) || (m.Group() != 0 && m.Group() != n.group) {
		return
	}
	n.noncesOf(m.Address()).echo = h.Nonce()
	known := n.proves(m, h.Echo())
	reply := peer.NewHelloReply(n.noncesOf(m.Address()).issued, h.Nonce(), known, n.settled.IsVoter(m.From())).WithLeader(n.addressOf(n.leader))
	n.greetAt(m.Address(), m.From(), reply)
	n.passForm(m, h)
	if known && n.leads() {
		n.admit(m)
	}
}

// onHelloReply takes note of the nonce to echo, and of who is blank and knows
// this replica by its present identity.
func (n *Node) onHelloReply(m peer.Message, r peer.HelloReply) {
	if m.To() != n.id || !n.greets(m.Address()) {
		return
	}
	x := n.noncesOf(m.Address())
	x.echo = r.Nonce()
	if !n.proves(m, r.Echo()) {
		return
	}
	delete(n.greet.answers, m.Address())
	if n.open && r.Leader() != "" && m.Group() != 0 {
		n.greet.leaders[r.Leader()] = true
	}
	if r.Voter() && m.Group() != 0 {
		n.vouch(m.Group())
	}
	switch {
	case r.EchoMatched() && m.Group() == 0:
		n.greet.answers[m.Address()] = answer{id: m.From(), at: n.now}
		n.found()
	case !r.EchoMatched() && x.again:
		x.again = false
		n.greetAt(m.Address(), 0, peer.NewHello(x.issued, x.echo))
	}
}

// vouch takes note that a committed entry of the group made this replica a
// voter. A replica that the group's log never reached may be needed to elect a
// leader that holds it; what it knows of this it need not keep over a restart.
func (n *Node) vouch(g peer.Group) {
	if n.free() && n.group != g {
		n.adopt(g)
	}
	n.vouched = n.vouched || n.group == g
}
