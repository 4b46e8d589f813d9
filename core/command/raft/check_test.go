package raft

import (
	"fmt"
	"strings"

	"verbenabank/core/state/peer"
)

// checker records what all hosts did and finds violated invariants.
type checker struct {
	err              error
	onlyInvariant    string // the only invariant to check, all if empty
	first            peer.Entry
	groups           map[peer.Group]bool
	leaders          map[peer.Term]peer.ID
	electedAt        map[peer.Term]int // event number
	votes            map[ballotKey]peer.ID
	votesChecked     map[ballotKey]bool
	voters           map[peer.ID]bool // voters by a committed entry
	entries          map[entryKey]entryFacts
	committedEntries map[peer.Index]entryKey
	commitTerms      map[peer.Index]peer.Term // term of the leader that committed the entry
	states           map[peer.Index]uint64
	lastCommitted    peer.Index
	roundStarts      map[roundKey]int
	confirmCalls     map[uint64]confirmCall
	events           int
	history          history
	applied          int
	confirms         int
	elections        int
}

type ballotKey struct {
	id   peer.ID
	term peer.Term
}

type entryKey struct {
	index peer.Index
	term  peer.Term
}

type entryFacts struct {
	payload  string
	previous peer.Term
}

type roundKey struct {
	term  peer.Term
	round uint64
}

// confirmCall is a ConfirmRequested event: the earliest round that can answer it, and the last
// committed index when it was made.
type confirmCall struct {
	key       roundKey
	committed peer.Index
}

func newChecker() *checker {
	return &checker{
		groups: map[peer.Group]bool{}, leaders: map[peer.Term]peer.ID{}, electedAt: map[peer.Term]int{},
		votes: map[ballotKey]peer.ID{}, votesChecked: map[ballotKey]bool{}, voters: map[peer.ID]bool{}, entries: map[entryKey]entryFacts{}, committedEntries: map[peer.Index]entryKey{},
		commitTerms: map[peer.Index]peer.Term{}, states: map[peer.Index]uint64{}, roundStarts: map[roundKey]int{}, confirmCalls: map[uint64]confirmCall{},
	}
}

func (c *checker) fail(format string, args ...any) {
	if c.err == nil && strings.HasPrefix(format, c.onlyInvariant) {
		c.err = fmt.Errorf(format, args...)
	}
}

// persisted checks that a replica has only one durable vote per term.
func (c *checker) persisted(h *host, b peer.Batch) {
	hard := b.HardState()
	if hard.Vote() == 0 {
		return
	}
	k := ballotKey{hard.ID(), hard.Term()}
	if v, ok := c.votes[k]; ok && v != hard.Vote() {
		c.fail("one vote: host %d has two different durable votes in term %d", h.number, hard.Term())
	}
	c.votes[k] = hard.Vote()
}

// written checks that only voters vote (votesAsVoter), and the log matching property: entries with the
// same index and term are equal, and so are the terms of the entries before them.
func (c *checker) written(h *host, b peer.Batch) {
	if k := (ballotKey{b.HardState().ID(), b.HardState().Term()}); b.HardState().Vote() != 0 && !c.votesChecked[k] {
		c.votesChecked[k] = true
		c.votesAsVoter(h, b.HardState())
	}
	for _, e := range b.Entries() {
		if e.Index() == firstIndex {
			c.first = e // a group abandoned during bootstrap may have a different one
			continue
		}
		k := entryKey{e.Index(), e.Term()}
		f := entryFacts{payload: fmt.Sprint(e.Payload()), previous: h.node.log.termAt(e.Index() - 1)}
		old, ok := c.entries[k]
		if ok && (old.payload != f.payload || (old.previous != f.previous && old.previous != 0 && f.previous != 0)) {
			c.fail("log matching: entries at index %d of term %d differ: %v and %v", e.Index(), e.Term(), old, f)
		}
		c.entries[k] = f
	}
}

// votesAsVoter checks that a vote comes from a voter: one by a committed entry, or one by the
// candidate's members that has an entry of the group on its disk.
func (c *checker) votesAsVoter(h *host, hard peer.HardState) {
	if c.voters[hard.ID()] {
		return
	}
	empty := len(h.disk.Entries()) == 0 && h.disk.Snapshot().Index() == 0
	if empty || h.disk.HardState().ID() != hard.ID() || h.disk.HardState().Group() != hard.Group() {
		c.fail("promoted: host %d voted without an entry of the group and before a committed entry made it a voter", h.number)
	}
	for _, o := range h.cluster.hosts {
		if o.node != nil && o.node.id == hard.Vote() && o.node.term == hard.Term() && !o.node.members.IsVoter(hard.ID()) {
			c.fail("promoted: host %d voted for host %d, by whose members it is not a voter", h.number, o.number)
		}
	}
}

// checkElection checks that the leader has durable votes of a quorum of its own members.
func (c *checker) checkElection(h *host, t peer.Term) {
	count := 0
	for _, r := range h.node.members.List() {
		if r.IsVoter() && c.votes[ballotKey{r.ID(), t}] == h.node.id {
			count++
		}
	}
	if count < h.node.members.Quorum() {
		c.fail("quorum: host %d leads term %d with only %d durable votes of %d members", h.number, t, count, h.node.members.Len())
	}
}

// sent checks that the state a message depends on is durable at the sender.
func (c *checker) sent(h *host, m peer.Message) {
	d := h.disk.HardState()
	empty := len(h.disk.Entries()) == 0 && h.disk.Snapshot().Index() == 0
	durable := d.ID() == m.From() && d.Group() == m.Group()
	switch b := m.Body().(type) {
	case peer.PreVoteRequest, peer.PreVoteReply:
		return
	case peer.VoteRequest:
		durable = durable && d.Term() == m.Term() && d.Vote() == m.From()
	case peer.VoteReply:
		durable = durable && d.Term() == m.Term() && (!b.Granted() || d.Vote() == m.To())
	case peer.AppendRequest, peer.AppendRejected, peer.SnapshotChunk, peer.SnapshotReply, peer.TimeoutNow:
		durable = durable && d.Term() >= m.Term()
	case peer.AppendAccepted:
		last := h.disk.Snapshot().Index() + peer.Index(len(h.disk.Entries()))
		durable = durable && d.Term() >= m.Term() && b.Match() <= last
	case peer.Hello, peer.HelloReply, peer.Bootstrap:
		// Without an entry a replica sends Hello as blank, whatever group it was told of.
		durable = durable || (d.ID() == m.From() && m.Group() == 0 && empty)
	}
	if !durable {
		c.fail("durable: host %d sent %T at term %d with %+v on disk", h.number, m.Body(), m.Term(), d)
	}
}

// roleChanged checks that a term has only one leader, and that a new leader has all entries that
// leaders of earlier terms committed.
func (c *checker) roleChanged(h *host, b RoleChanged) {
	c.events++
	if _, ok := b.Role().(Elected); !ok {
		return
	}
	c.elections++
	id := h.node.id
	c.checkElection(h, b.Term())
	if other, ok := c.leaders[b.Term()]; ok && other != id {
		c.fail("election safety: term %d elected %x and %x", b.Term(), other, id)
	}
	c.leaders[b.Term()] = id
	if _, ok := c.electedAt[b.Term()]; !ok {
		c.electedAt[b.Term()] = c.events
	}
	for i := max(h.node.log.base, firstIndex) + 1; i <= c.lastCommitted; i++ {
		if t := h.node.log.termAt(i); t != c.committedEntries[i].term && c.commitTerms[i] < b.Term() {
			c.fail("committed entries: leader of term %d has an entry of term %d at index %d, where one of term %d is committed", b.Term(), t, i, c.committedEntries[i].term)
			return
		}
	}
}

// committed checks that all hosts commit the same entries, in one group.
func (c *checker) committed(h *host, e peer.Entry) {
	if change, ok := e.Payload().(peer.MembershipChange); ok {
		for _, r := range change.Members().List() {
			c.voters[r.ID()] = c.voters[r.ID()] || r.IsVoter()
		}
	}
	if e.Index() == firstIndex {
		return
	}
	c.applied++
	c.groups[h.node.group] = true
	if len(c.groups) > 1 {
		c.fail("one group: host %d committed an entry in a second group", h.number)
	}
	k := entryKey{e.Index(), e.Term()}
	old, ok := c.committedEntries[e.Index()]
	if ok && old != k {
		c.fail("committed entries: different entries %v and %v at one index", old, k)
	}
	if !ok {
		c.committedEntries[e.Index()], c.commitTerms[e.Index()] = k, h.node.term
	}
	c.lastCommitted = max(c.lastCommitted, e.Index())
}

// checkState checks that all hosts have the same state at the same index.
func (c *checker) checkState(h *host, operation string) {
	old, ok := c.states[h.index]
	if ok && old != h.state && h.index > firstIndex {
		c.fail("same state: host %d has a different state at index %d after %s", h.number, h.index, operation)
	}
	c.states[h.index] = h.state
}

// recordRounds records when heartbeat rounds start.
func (c *checker) recordRounds(h *host) {
	c.events++
	if h.node == nil || !h.node.leads() {
		return
	}
	for r := h.node.lead.round; r > 0; r-- {
		k := roundKey{h.node.term, r}
		if _, ok := c.roundStarts[k]; ok {
			return
		}
		c.roundStarts[k] = c.events
	}
}

// confirmRequested records the earliest round that can answer a request, which is the next one.
func (c *checker) confirmRequested(h *host, token uint64) {
	if h.node != nil && h.node.leads() {
		c.confirmCalls[token] = confirmCall{key: roundKey{h.node.term, h.node.lead.round + 1}, committed: c.lastCommitted}
	}
}

// confirmed checks that no newer leader was elected before the round that answered the request
// started, and that the leader has all that was committed before the request.
func (c *checker) confirmed(h *host, tokens []uint64) {
	for _, t := range tokens {
		c.confirms++
		c.history.read(t, h.value, c.events)
		q, ok := c.confirmCalls[t]
		if !ok {
			continue
		}
		if h.index < q.committed {
			c.fail("current: host %d confirmed a request at index %d, but index %d was committed before the request", h.number, h.index, q.committed)
		}
		began, ok := c.roundStarts[q.key]
		if !ok {
			began = c.events
		}
		for term, at := range c.electedAt {
			if term > h.node.term && at < began {
				c.fail("confirmed: host %d confirmed a request in term %d, but a leader of term %d was elected before the round", h.number, h.node.term, term)
			}
		}
	}
}
