package raft

import (
	"slices"

	"verbenabank/core/state/peer"
)

// diskState tracks which of the node's decisions are durable.
type diskState struct {
	sequence       uint64 // of the last batch
	persisted      uint64 // all batches up to this one are durable
	dirty          bool   // the next batch has something to store
	hardStateBatch uint64 // the batch that holds the current term and vote
	hardStateDirty bool   // the next batch holds a new term or vote
	durableIndex   peer.Index
	entries        []peer.Entry
	snapshot       peer.Snapshot
	batchEnds      []batchEnd
	waiting        []deferred
	thisStep       []deferred // registered during the current step, not yet assigned to a batch
}

// batchEnd records the last log index when a batch was made.
type batchEnd struct {
	sequence uint64
	last     peer.Index
}

// deferred is an action that runs when a batch is durable. It is dropped if the term has changed.
type deferred struct {
	sequence uint64
	term     peer.Term
	run      func()
}

// afterSync runs an action once all decisions made so far are durable.
func (n *Node) afterSync(run func()) {
	n.disk.thisStep = append(n.disk.thisStep, deferred{term: n.term, run: run})
}

// hardStateDurable reports whether the current term and vote are durable.
func (n *Node) hardStateDurable() bool {
	return !n.disk.hardStateDirty && n.disk.hardStateBatch <= n.disk.persisted
}

// setTerm sets the term and the vote in it. The term must not decrease, and a vote must not change
// within its term.
func (n *Node) setTerm(t peer.Term, vote peer.ID) {
	if t < n.term {
		n.reportViolation("set term", TermDecreased, "from %d to %d", n.term, t)
		return
	}
	if t == n.term && n.vote != 0 && vote != n.vote {
		n.reportViolation("vote", VoteChanged, "term %d, from %x to %x", t, n.vote, vote)
		return
	}
	n.term, n.vote = t, vote
	n.disk.dirty, n.disk.hardStateDirty = true, true
}

// appendLog appends entries to the log and to the next batch. Membership changes take effect at once.
func (n *Node) appendLog(entries ...peer.Entry) {
	n.log.append(entries...)
	n.disk.entries = append(n.disk.entries, entries...)
	n.disk.dirty = true
	for _, e := range entries {
		if c, ok := e.Payload().(peer.MembershipChange); ok {
			n.setMembers(c.Members(), e.Index())
		}
	}
}

// truncateLog removes the entry at i and all after it. These entries no longer count as durable, also
// if their batch is still being written.
func (n *Node) truncateLog(i peer.Index) {
	if i <= n.commit {
		n.reportViolation("cut log", CommittedLost, "cut at %d, committed %d", i, n.commit)
		return
	}
	n.log.truncate(i)
	d := &n.disk
	d.durableIndex = min(d.durableIndex, i-1)
	for k := range d.batchEnds {
		d.batchEnds[k].last = min(d.batchEnds[k].last, i-1)
	}
	d.entries = slices.DeleteFunc(d.entries, func(e peer.Entry) bool { return e.Index() >= i })
	if n.membersIndex >= i {
		n.setMembers(n.log.membersAt(n.log.last()))
	}
}

// flush emits a batch with everything that no batch holds yet, and runs the deferred actions whose
// batch is durable already.
func (n *Node) flush() {
	d := &n.disk
	if d.dirty {
		d.sequence++
		hard := peer.NewHardState(n.id, n.group, n.term, n.vote, n.commit)
		n.emit(Persist{batch: peer.NewBatch(d.sequence, hard, d.snapshot, d.entries)})
		d.batchEnds = append(d.batchEnds, batchEnd{sequence: d.sequence, last: n.log.last()})
		if d.hardStateDirty {
			d.hardStateBatch = d.sequence
		}
		d.dirty, d.hardStateDirty, d.entries, d.snapshot = false, false, nil, peer.Snapshot{}
	}
	for _, f := range d.thisStep {
		f.sequence = d.sequence
		d.waiting = append(d.waiting, f)
	}
	d.thisStep = nil
	n.runDurableActions()
}

// runDurableActions runs the actions whose batch is durable.
func (n *Node) runDurableActions() {
	d := &n.disk
	for len(d.waiting) > 0 && d.waiting[0].sequence <= d.persisted {
		next := d.waiting[0]
		d.waiting = d.waiting[1:]
		if next.term == n.term {
			next.run()
		}
	}
}

// onPersisted handles the confirmation that all batches up to sequence are durable.
func (n *Node) onPersisted(sequence uint64) {
	d := &n.disk
	d.persisted = max(d.persisted, min(sequence, d.sequence))
	for len(d.batchEnds) > 0 && d.batchEnds[0].sequence <= d.persisted {
		d.durableIndex = max(d.durableIndex, d.batchEnds[0].last)
		d.batchEnds = d.batchEnds[1:]
	}
	n.runDurableActions()
	if n.leads() {
		n.advanceCommit()
	}
}
