package raft

import (
	"slices"

	"verbenabank/core/state/peer"
)

// diskState knows what of the node's decisions is durable.
type diskState struct {
	sequence  uint64 // of the last batch
	persisted uint64 // all batches up to it are durable
	dirty     bool   // something is to go into the next batch
	promise   uint64 // batch that holds the present term and vote
	promising bool   // the next batch holds a new term or vote
	durable   peer.Index
	entries   []peer.Entry
	snapshot  peer.Snapshot
	marks     []mark
	waiting   []deferred
	fresh     []deferred // of the present step
}

// mark says where the log ended when a batch was made.
type mark struct {
	sequence uint64
	last     peer.Index
}

// deferred is an action that waits for a batch and is void in another term.
type deferred struct {
	sequence uint64
	term     peer.Term
	run      func()
}

// afterSync runs an action once all decisions so far are durable.
func (n *Node) afterSync(run func()) {
	n.disk.fresh = append(n.disk.fresh, deferred{term: n.term, run: run})
}

// promiseDurable reports whether the present term and vote are durable.
func (n *Node) promiseDurable() bool {
	return !n.disk.promising && n.disk.promise <= n.disk.persisted
}

// setTerm moves to a term and the vote in it.
func (n *Node) setTerm(t peer.Term, vote peer.ID) {
	if t < n.term {
		n.violate("set term", TermFell, "from %d to %d", n.term, t)
		return
	}
	if t == n.term && n.vote != 0 && vote != n.vote {
		n.violate("vote", VoteChanged, "term %d, from %x to %x", t, n.vote, vote)
		return
	}
	n.term, n.vote = t, vote
	n.disk.dirty, n.disk.promising = true, true
}

// appendLog adds entries to the log and the next batch.
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

// cutLog removes the entry at i and all after it, for others to take their
// place.
func (n *Node) cutLog(i peer.Index) {
	if i <= n.commit {
		n.violate("cut log", CommittedLost, "cut at %d, committed %d", i, n.commit)
		return
	}
	n.log.cut(i)
	d := &n.disk
	d.durable = min(d.durable, i-1)
	for k := range d.marks {
		d.marks[k].last = min(d.marks[k].last, i-1)
	}
	d.entries = slices.DeleteFunc(d.entries, func(e peer.Entry) bool { return e.Index() >= i })
	if n.changed >= i {
		n.setMembers(n.log.membersAt(n.log.last()))
	}
}

// flush makes a batch of all that is not yet on its way to the disk, and runs
// what need not wait.
func (n *Node) flush() {
	d := &n.disk
	if d.dirty {
		d.sequence++
		hard := peer.NewHardState(n.id, n.group, n.term, n.vote, n.commit)
		n.emit(Persist{batch: peer.NewBatch(d.sequence, hard, d.snapshot, d.entries)})
		d.marks = append(d.marks, mark{sequence: d.sequence, last: n.log.last()})
		if d.promising {
			d.promise = d.sequence
		}
		d.dirty, d.promising, d.entries, d.snapshot = false, false, nil, peer.Snapshot{}
	}
	for _, f := range d.fresh {
		f.sequence = d.sequence
		d.waiting = append(d.waiting, f)
	}
	d.fresh = nil
	n.release()
}

// release runs the actions whose batch is durable.
func (n *Node) release() {
	d := &n.disk
	for len(d.waiting) > 0 && d.waiting[0].sequence <= d.persisted {
		next := d.waiting[0]
		d.waiting = d.waiting[1:]
		if next.term == n.term {
			next.run()
		}
	}
}

// synced takes note of durable batches.
func (n *Node) synced(sequence uint64) {
	d := &n.disk
	d.persisted = max(d.persisted, min(sequence, d.sequence))
	for len(d.marks) > 0 && d.marks[0].sequence <= d.persisted {
		d.durable = max(d.durable, d.marks[0].last)
		d.marks = d.marks[1:]
	}
	n.release()
	if n.leads() {
		n.advanceCommit()
	}
}
