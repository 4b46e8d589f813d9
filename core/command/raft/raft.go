// Package raft decides for one replica of the replicated log: elections with
// pre-vote, replication, commits, snapshots, changes of the group, and
// confirmation that a leader still leads.
//
// A Node does no input or output. It takes events and returns effects, among
// them batches to be made durable; nothing is voted, acknowledged or counted
// before its batch was. A Node is for the control goroutine only.
//
// The algorithm follows D. Ongaro, "Consensus: Bridging Theory and Practice",
// Stanford University, 2014: chapters 3 (log), 4.2 (single-server changes), 5
// (snapshots), 6.4 (confirmation by heartbeat round) and 9.6 (pre-vote).
package raft

import (
	"math"
	"math/rand/v2"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

// Timers and limits.
const (
	Heartbeat    = 50 * clock.Millisecond
	ElectionMin  = 150 * clock.Millisecond
	ElectionMax  = 300 * clock.Millisecond
	HelloEvery   = 200 * clock.Millisecond
	roundSpacing = 5 * clock.Millisecond // least span between two rounds that were asked for
	helloFresh   = 2 * clock.Second      // how long an answer to Hello counts
	silentAfter  = clock.Second          // how long a member may be silent before it may be removed

	maxInFlight    = 8       // requests with entries, per follower
	maxUncommitted = 1 << 14 // entries, beyond which offers are dropped

	// Never is the instant of a timer that is not set.
	Never clock.Millis = math.MaxInt64
)

// Node is one replica of the replicated log.
type Node struct {
	address string
	seeds   []string
	form    bool
	open    bool
	least   int // voters, below which none is removed for its silence
	random  *rand.Rand
	stored  peer.StoredState
	trail   peer.Index
	chunk   int // bytes
	limit   int // bytes of entries in one request

	id    peer.ID
	group peer.Group
	term  peer.Term
	vote  peer.ID

	role      Role
	leader    peer.ID
	lastHeard clock.Millis // of the leader
	log       memlog
	snapshot  peer.Snapshot
	commit    peer.Index
	applied   peer.Index
	members   peer.Members // newest, committed or not
	changed   peer.Index   // of the entry that set members
	settled   peer.Members // at the commit index
	vouched   bool         // another member knows of a committed entry that lets this one vote
	contacts  map[peer.ID]string

	now    clock.Millis
	out    []Effect
	failed *Error
	disk   diskState
	timer  timers
	ballot map[peer.ID]bool
	lead   leadership
	greet  greeting
	inward incoming
}

// New returns a node. Its first event is Started.
func New(opts ...Option) *Node {
	n := &Node{
		role: Blank{}, random: rand.New(rand.NewPCG(1, 1)), trail: 4096, chunk: 256 << 10, limit: 256 << 10,
		contacts: map[peer.ID]string{}, timer: noTimers(), greet: newGreeting(),
	}
	for _, o := range opts {
		o(n)
	}
	return n
}

// Step takes an event at the instant now and returns what is to be done, in
// order. After an effect Violated it does nothing more.
func (n *Node) Step(now clock.Millis, e Event) []Effect {
	if n.failed != nil {
		return nil
	}
	n.now = now
	n.out = nil
	n.handle(e)
	n.runTimers()
	n.flush()
	if n.failed != nil {
		return []Effect{InvariantViolated{err: n.failed}}
	}
	return n.out
}

func (n *Node) handle(e Event) {
	switch e := e.(type) {
	case Started:
		n.start()
	case Ticked:
	case Received:
		n.receive(e.message)
	case Persisted:
		n.synced(e.sequence)
	case Offered:
		n.offer(e)
	case ConfirmAsked:
		n.askConfirm(e.token)
	case Compacted:
		n.compact(e)
	case TransferRequested:
		n.startTransfer()
	}
}

func (n *Node) emit(e Effect) { n.out = append(n.out, e) }

// become takes a role.
func (n *Node) become(r Role) {
	if n.role == r {
		return
	}
	n.role = r
	n.emit(RoleChanged{role: r, term: n.term})
}

// leads reports whether the node won the election of its term.
func (n *Node) leads() bool {
	switch n.role.(type) {
	case Elected, Leader:
		return true
	case Blank, Learner, Follower, PreCandidate, Candidate:
		return false
	}
	return false
}

// mayVote reports whether this replica may vote: it has an entry of the group, or knows that a
// committed entry made it a voter. Whether its vote counts depends on the members in the
// candidate's log, of which the own one may know nothing yet.
func (n *Node) mayVote() bool { return n.vouched || !n.free() }

// mayLead reports whether this replica may stand for election: it is a voter by the members at
// the commit index or by the newest ones.
func (n *Node) mayLead() bool { return n.settled.IsVoter(n.id) || n.members.IsVoter(n.id) }

// addressOf returns where a replica is reached, "" if that is not known.
func (n *Node) addressOf(id peer.ID) string {
	if id == n.id {
		return n.address
	}
	if r, ok := n.members.Find(id); ok {
		return r.Address()
	}
	return n.contacts[id]
}

// send sends at once.
func (n *Node) send(to peer.ID, t peer.Term, b peer.Body) {
	address := n.addressOf(to)
	if address == "" {
		return
	}
	route := peer.NewHeader(n.group, n.id, n.address, to)
	n.emit(Send{address: address, message: peer.NewMessage(route, t, b)})
}

// sendDurable sends once all that the node decided so far is durable, if it is
// still in the same term.
func (n *Node) sendDurable(to peer.ID, b peer.Body) {
	n.afterSync(func() { n.send(to, n.term, b) })
}
