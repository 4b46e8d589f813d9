package raft

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

// progress is the replication state of one follower, kept by the leader.
type progress struct {
	match       peer.Index   // last entry that is equal and durable at the follower
	next        peer.Index   // first entry to send
	ackedRound  uint64       // last heartbeat round it acknowledged
	commitRound uint64       // last round that it acknowledged while it had the newest members
	lastContact clock.Millis // start of the last round it answered
	inFlight    []peer.Index // last entry of each unanswered request
	state       replicationState
}

// replicationState is how entries are sent to a follower: probing, streaming or installing.
type replicationState interface{ replicationState() }

// probing searches for the last index at which the logs match, and sends no entries.
type probing struct{}

// streaming sends entries without waiting for earlier ones to be acknowledged.
type streaming struct{}

// installing sends a snapshot in chunks.
type installing struct {
	snapshot peer.Snapshot
	offset   uint64
	sent     clock.Millis
}

func (probing) replicationState()    {}
func (streaming) replicationState()  {}
func (installing) replicationState() {}

// recordMatch records the last entry that is durable at the follower.
func (p *progress) recordMatch(match peer.Index) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	for len(p.inFlight) > 0 && p.inFlight[0] <= p.match {
		p.inFlight = p.inFlight[1:]
	}
}

// probe returns to searching for the last index at which the logs match.
func (p *progress) probe(next peer.Index) {
	p.next = max(next, p.match+1)
	p.inFlight = nil
	p.state = probing{}
}
