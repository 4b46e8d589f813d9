package raft

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

// maxRetired bounds the identities that are remembered for an address.
const maxRetired = 64

// greeting is what a replica learns from Hello and its answers.
type greeting struct {
	known   map[string]*acquaintance // by address
	answers map[string]answer        // to this blank replica, by address
}

// acquaintance is the replica at an address.
type acquaintance struct {
	current peer.ID
	retired map[peer.ID]bool // earlier identities
	nonce   uint64
	proven  clock.Millis // when it last echoed a nonce
	fresh   bool         // whether it ever did
}

// answer is a blank replica's answer to Hello.
type answer struct {
	id peer.ID
	at clock.Millis
}

func newGreeting() greeting {
	return greeting{known: map[string]*acquaintance{}, answers: map[string]answer{}}
}

// meet takes note of the identity at an address. It reports false for an
// identity that another one followed there.
func (g *greeting) meet(address string, id peer.ID) (*acquaintance, bool) {
	a, ok := g.known[address]
	if !ok {
		a = &acquaintance{current: id, retired: map[peer.ID]bool{}}
		g.known[address] = a
	}
	if a.retired[id] {
		return a, false
	}
	if a.current != id {
		if len(a.retired) >= maxRetired {
			clear(a.retired)
		}
		a.retired[a.current] = true
		*a = acquaintance{current: id, retired: a.retired}
	}
	return a, true
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
	_, ok := n.members.At(address)
	return ok
}

// sayHello presents this replica to all addresses in its settings.
func (n *Node) sayHello() {
	n.timer.hello = n.now.Add(HelloEvery)
	for _, s := range n.seeds {
		if s == n.address {
			continue
		}
		var echo uint64
		if a, ok := n.greet.known[s]; ok {
			echo = a.nonce
		}
		n.greetAt(s, 0, peer.NewHello(echo))
	}
	n.found()
}

// greetAt sends to an address once the own identity is durable.
func (n *Node) greetAt(address string, to peer.ID, b peer.Body) {
	n.afterSync(func() {
		route := peer.NewRoute(n.group, n.id, n.address, to)
		n.emit(Send{address: address, message: peer.NewMessage(route, n.term, b)})
	})
}

// onHello answers a replica that has no group, or that its group does not know.
func (n *Node) onHello(m peer.Message, h peer.Hello) {
	if !n.seed(m.Address()) {
		return
	}
	a, current := n.greet.meet(m.Address(), m.From())
	if !current || (m.Group() != 0 && m.Group() != n.group) {
		return
	}
	if !n.leads() {
		n.greetAt(m.Address(), m.From(), peer.NewHelloReply(0))
		n.passForm(m)
		return
	}
	if a.nonce != 0 && h.Echo() == a.nonce {
		a.proven, a.fresh, a.nonce = n.now, true, 0
	}
	if a.nonce == 0 {
		a.nonce = n.draw()
	}
	n.greetAt(m.Address(), m.From(), peer.NewHelloReply(a.nonce))
	n.passForm(m)
	if a.fresh && n.now == a.proven {
		n.admit(m)
	}
}

// onHelloReply takes note of who is blank, and of the nonce to echo.
func (n *Node) onHelloReply(m peer.Message, r peer.HelloReply) {
	if m.To() != n.id || !n.seed(m.Address()) {
		return
	}
	a, current := n.greet.meet(m.Address(), m.From())
	if !current {
		return
	}
	a.nonce = r.Nonce()
	if m.Group() != 0 {
		delete(n.greet.answers, m.Address())
		return
	}
	n.greet.answers[m.Address()] = answer{id: m.From(), at: n.now}
	n.found()
}
