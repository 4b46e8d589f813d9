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
	echo    uint64           // nonce of its last answer
	issued  uint64           // nonce that it is to echo, 0 if there is none
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
			echo = a.echo
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
	n.passForm(m)
	if !n.leads() {
		n.greetAt(m.Address(), m.From(), peer.NewHelloReply(0))
		return
	}
	proven := a.issued != 0 && h.Echo() == a.issued
	if proven || a.issued == 0 {
		a.issued = n.draw()
	}
	n.greetAt(m.Address(), m.From(), peer.NewHelloReply(a.issued))
	if proven {
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
	a.echo = r.Nonce()
	if m.Group() != 0 {
		delete(n.greet.answers, m.Address())
		return
	}
	n.greet.answers[m.Address()] = answer{id: m.From(), at: n.now}
	n.found()
}
