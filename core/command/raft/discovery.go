package raft

import (
	"maps"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

// discovery holds what a replica learned from Hello messages and their replies.
type discovery struct {
	nonces       map[string]*nonces    // by address
	blankReplies map[string]blankReply // replies that blank replicas sent to this one, by address
	leaderHints  map[string]bool       // addresses that members reported as the leader's
}

// nonces holds the nonces exchanged with one address.
type nonces struct {
	issued     uint64  // to be echoed by the replica at the address
	previous   uint64  // the one issued before, 0 if it is no longer valid
	verifiedID peer.ID // the replica that last echoed an issued nonce
	received   uint64  // the last one received from the address
	retry      bool    // send another Hello as soon as there is a nonce to echo
}

// blankReply records when a blank replica replied to Hello, and its ID.
type blankReply struct {
	id peer.ID
	at clock.Millis
}

func newDiscovery() discovery {
	return discovery{nonces: map[string]*nonces{}, blankReplies: map[string]blankReply{}, leaderHints: map[string]bool{}}
}

// noncesOf returns the nonces exchanged with an address, creating them on first use.
func (n *Node) noncesOf(address string) *nonces {
	x, ok := n.discovery.nonces[address]
	if !ok {
		x = &nonces{issued: n.randomID()}
		n.discovery.nonces[address] = x
	}
	return x
}

// verifyEcho reports whether an echoed nonce proves that the sender of m can be reached at its
// address. A nonce that was echoed is valid for one more message of the same replica, since both
// sides send Hello at their own times, and for no other replica.
func (n *Node) verifyEcho(m peer.Message, echo uint64) bool {
	x := n.noncesOf(m.Address())
	switch {
	case echo == x.issued && m.From() == x.verifiedID:
		x.previous, x.issued = x.issued, n.randomID()
	case echo == x.issued:
		x.verifiedID, x.previous, x.issued = m.From(), 0, n.randomID()
	case echo == 0 || echo != x.previous || m.From() != x.verifiedID:
		return false
	}
	return true
}

// isPeerAddress reports whether the address of another replica is configured or belongs to a member.
func (n *Node) isPeerAddress(address string) bool {
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

// acceptsHelloFrom reports whether Hello messages from an address are handled. With open membership
// all of them are.
func (n *Node) acceptsHelloFrom(address string) bool {
	return address != n.address && (n.openMembership || n.isPeerAddress(address))
}

// peerAddresses returns the addresses at which other replicas may be. The own address may be among
// them.
func (n *Node) peerAddresses() []string {
	if !n.openMembership {
		return n.seeds
	}
	set := map[string]bool{}
	for _, s := range n.seeds {
		set[s] = true
	}
	for a := range n.discovery.leaderHints {
		set[a] = true
	}
	for _, r := range n.members.List() {
		set[r.Address()] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// sendHello sends Hello to all known addresses and bootstraps the group if the replies allow it.
func (n *Node) sendHello() {
	n.timer.hello = n.now.Add(HelloInterval)
	for _, s := range n.peerAddresses() {
		if s == n.address {
			continue
		}
		x := n.noncesOf(s)
		x.retry = true
		n.sendToAddress(s, 0, peer.NewHello(x.issued, x.received))
	}
	n.tryBootstrap()
}

// sendToAddress sends to an address once this replica's ID is durable.
func (n *Node) sendToAddress(address string, to peer.ID, b peer.Body) {
	n.afterSync(func() {
		header := peer.NewHeader(n.logGroup(), n.id, n.address, to)
		n.emit(Send{address: address, message: peer.NewMessage(header, n.term, b)})
	})
}

// onHello answers a replica that is blank, or that is of the same group and not yet a voter as far as
// it knows. A leader also admits the sender to the group if its address is verified.
func (n *Node) onHello(m peer.Message, h peer.Hello) {
	if !n.acceptsHelloFrom(m.Address()) || (m.Group() != 0 && m.Group() != n.group) {
		return
	}
	n.noncesOf(m.Address()).received = h.Nonce()
	known := n.verifyEcho(m, h.Echo())
	reply := peer.NewHelloReply(n.noncesOf(m.Address()).issued, h.Nonce(), known, n.committedMembers.IsVoter(m.From())).WithLeader(n.addressOf(n.leader))
	n.sendToAddress(m.Address(), m.From(), reply)
	n.resendBootstrap(m, h)
	if known && n.leads() {
		n.admitReplica(m)
	}
}

// onHelloReply stores the nonce to echo, and records whether the sender is blank and knows this
// replica by its current ID.
func (n *Node) onHelloReply(m peer.Message, r peer.HelloReply) {
	if m.To() != n.id || !n.acceptsHelloFrom(m.Address()) {
		return
	}
	x := n.noncesOf(m.Address())
	x.received = r.Nonce()
	if !n.verifyEcho(m, r.Echo()) {
		return
	}
	delete(n.discovery.blankReplies, m.Address())
	if n.openMembership && r.Leader() != "" && m.Group() != 0 {
		n.discovery.leaderHints[r.Leader()] = true
	}
	if r.Voter() && m.Group() != 0 {
		n.confirmVoter(m.Group())
	}
	switch {
	case r.EchoMatched() && m.Group() == 0:
		n.discovery.blankReplies[m.Address()] = blankReply{id: m.From(), at: n.now}
		n.tryBootstrap()
	case !r.EchoMatched() && x.retry:
		x.retry = false
		n.sendToAddress(m.Address(), 0, peer.NewHello(x.issued, x.received))
	}
}

// confirmVoter records that a committed entry of group g made this replica a voter. The vote of a
// replica that never received the group's log may be needed to elect a leader that has the log. The
// fact need not survive a restart.
func (n *Node) confirmVoter(g peer.Group) {
	if n.logEmpty() && n.group != g {
		n.adoptGroup(g)
	}
	n.knownVoter = n.knownVoter || n.group == g
}
