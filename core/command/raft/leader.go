package raft

import (
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

// leadership holds the state that only an elected replica has.
type leadership struct {
	termStart       peer.Index // the first entry of the own term
	announcedIndex  peer.Index // the last membership change that was announced as committed
	announceRound   uint64     // the heartbeat round that announced it
	progress        map[peer.ID]*progress
	proposals       map[peer.Index]uint64
	round           uint64
	roundStarted    clock.Millis // start of the last round
	roundStarts     []roundStart // of the rounds within the maximum election timeout
	confirmRequests []confirmRequest
	transferee      peer.ID // the voter that is to take over, 0 if no transfer is in progress
}

// roundStart records when a heartbeat round started.
type roundStart struct {
	round uint64
	at    clock.Millis
}

// startLeading begins the term of an elected replica by appending a no-op entry.
func (n *Node) startLeading() {
	n.leader = n.id
	n.timer.election = Never
	n.timer.quorum = n.now.Add(n.electionTimeoutMax())
	n.lead = leadership{
		termStart: n.log.last() + 1, announcedIndex: n.commit,
		progress: map[peer.ID]*progress{}, proposals: map[peer.Index]uint64{},
	}
	n.become(Elected{})
	n.trackMembers()
	n.appendLog(peer.NewEntry(n.log.last()+1, n.term, peer.Noop{}))
	n.startRound()
}

// stepDown ends leadership and drops all open proposals and confirmation requests.
func (n *Node) stepDown() {
	if !n.leads() {
		return
	}
	var tokens []uint64
	for _, t := range n.lead.proposals {
		tokens = append(tokens, t)
	}
	for _, r := range n.lead.confirmRequests {
		tokens = append(tokens, r.token)
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

// trackMembers aligns the replication progress with the newest members, except this replica.
func (n *Node) trackMembers() {
	next := map[peer.ID]*progress{}
	for _, r := range n.others() {
		p, ok := n.lead.progress[r.ID()]
		if !ok {
			p = &progress{next: n.log.last() + 1, lastContact: n.now, state: probing{}}
		}
		next[r.ID()] = p
	}
	n.lead.progress = next
}

// propose appends a command, or drops it if this replica cannot accept it.
func (n *Node) propose(e Proposed) {
	if !n.leads() || n.lead.transferee != 0 || n.log.last()-n.commit >= maxUncommitted {
		n.emit(Dropped{tokens: []uint64{e.token}})
		return
	}
	i := n.log.last() + 1
	n.lead.proposals[i] = e.token
	n.appendLog(peer.NewEntry(i, n.term, peer.NewCommand(e.command)))
	n.sendAll(false)
}

// checkQuorum steps down if there was no contact with a quorum for the maximum election timeout.
// Otherwise it sets the timer to when that would be the case.
func (n *Node) checkQuorum() {
	var heard []clock.Millis
	for _, r := range n.members.List() {
		switch {
		case !r.IsVoter():
		case r.ID() == n.id:
			heard = append(heard, n.now)
		default:
			heard = append(heard, n.lead.progress[r.ID()].lastContact)
		}
	}
	slices.Sort(heard)
	n.timer.quorum = heard[len(heard)-n.members.Quorum()].Add(n.electionTimeoutMax())
	if n.now >= n.timer.quorum {
		n.follow(n.term, 0)
	}
}

// recentlyActive reports whether there was contact with a follower within the maximum election
// timeout.
func (n *Node) recentlyActive(id peer.ID) bool {
	p, ok := n.lead.progress[id]
	return ok && n.now.Sub(p.lastContact) <= n.electionTimeoutMax()
}
