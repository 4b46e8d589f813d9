package raft

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

// progress is what a leader knows of one follower.
type progress struct {
	match    peer.Index   // equal and durable at the follower
	next     peer.Index   // first entry to send
	round    uint64       // last acknowledged
	told     uint64       // last round that brought the commit index
	heard    clock.Millis // start of the last round it answered
	inFlight []peer.Index // last entry of each request that is not yet answered
	state    flow
}

// flow is how entries go to a follower: probing, streaming or installing.
type flow interface{ flow() }

// probing asks where the logs are equal, and sends no entries.
type probing struct{}

// streaming sends entries before the earlier ones are acknowledged.
type streaming struct{}

// installing sends a snapshot.
type installing struct {
	snapshot peer.Snapshot
	offset   uint64
	sent     clock.Millis
}

func (probing) flow()    {}
func (streaming) flow()  {}
func (installing) flow() {}

// acknowledged takes note of what the follower has stored.
func (p *progress) acknowledged(match peer.Index) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	for len(p.inFlight) > 0 && p.inFlight[0] <= p.match {
		p.inFlight = p.inFlight[1:]
	}
}

// probe falls back to asking where the logs are equal.
func (p *progress) probe(next peer.Index) {
	p.next = max(next, p.match+1)
	p.inFlight = nil
	p.state = probing{}
}
