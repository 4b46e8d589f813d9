package raft

import (
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

// leadership is what only an elected replica knows.
type leadership struct {
	first    peer.Index // the first entry of the own term
	told     peer.Index // the last change of the group that was announced as committed
	telling  uint64     // the round that announced it
	progress map[peer.ID]*progress
	offers   map[peer.Index]uint64
	round    uint64
	started  clock.Millis // of the last round
	starts   []start      // of the rounds within the longest election timeout
	asks     []ask
	target   peer.ID // of the handover, 0 if there is none
}

// start says when a round started.
type start struct {
	round uint64
	at    clock.Millis
}

// startLeading begins the term of an elected replica with an entry of its own.
func (n *Node) startLeading() {
	n.leader = n.id
	n.timer.election = Never
	n.timer.quorum = n.now.Add(ElectionMax)
	n.lead = leadership{
		first: n.log.last() + 1, told: n.commit,
		progress: map[peer.ID]*progress{}, offers: map[peer.Index]uint64{},
	}
	n.become(Elected{})
	n.trackMembers()
	n.appendLog(peer.NewEntry(n.log.last()+1, n.term, peer.Noop{}))
	n.startRound()
}

// stepDown ends leadership: what was offered and asked stays unanswered.
func (n *Node) stepDown() {
	if !n.leads() {
		return
	}
	var tokens []uint64
	for _, t := range n.lead.offers {
		tokens = append(tokens, t)
	}
	for _, a := range n.lead.asks {
		tokens = append(tokens, a.token)
	}
	if len(tokens) > 0 {
		n.emit(Dropped{tokens: sorted(tokens)})
	}
	n.lead = leadership{}
	n.timer.heartbeat, n.timer.round = Never, Never
	n.timer.quorum, n.timer.transfer = Never, Never
	n.role = Follower{}
	n.emit(RoleChanged{role: n.role, term: n.term})
}

// trackMembers follows the progress of all members but itself.
func (n *Node) trackMembers() {
	next := map[peer.ID]*progress{}
	for _, r := range n.others() {
		p, ok := n.lead.progress[r.ID()]
		if !ok {
			p = &progress{next: n.log.last() + 1, heard: n.now, state: probing{}}
		}
		next[r.ID()] = p
	}
	n.lead.progress = next
}

// offer appends a command.
func (n *Node) offer(o Offered) {
	if !n.leads() || n.lead.target != 0 || n.log.last()-n.commit >= maxUncommitted {
		n.emit(Dropped{tokens: []uint64{o.token}})
		return
	}
	i := n.log.last() + 1
	n.lead.offers[i] = o.token
	n.appendLog(peer.NewEntry(i, n.term, peer.NewCommand(o.command)))
	n.sendAll(false)
}

// checkQuorum steps down if no quorum was heard from for the longest election
// timeout, or looks again when that will be so.
func (n *Node) checkQuorum() {
	var heard []clock.Millis
	for _, r := range n.members.List() {
		switch {
		case !r.IsVoter():
		case r.ID() == n.id:
			heard = append(heard, n.now)
		default:
			heard = append(heard, n.lead.progress[r.ID()].heard)
		}
	}
	slices.Sort(heard)
	n.timer.quorum = heard[len(heard)-n.members.Quorum()].Add(ElectionMax)
	if n.now >= n.timer.quorum {
		n.follow(n.term, 0)
	}
}

// lives reports whether a follower was heard from lately.
func (n *Node) lives(id peer.ID) bool {
	p, ok := n.lead.progress[id]
	return ok && n.now.Sub(p.heard) <= ElectionMax
}
