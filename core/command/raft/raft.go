// Package raft implements one replica of the replicated log: leader election with pre-vote, log
// replication, commits, snapshots, membership changes, and confirmation that a leader still leads.
//
// A Node does no I/O. It takes events and returns effects, among them batches to be made durable. No
// vote or acknowledgement is sent, and no entry is counted, before its batch is durable. A Node must
// be used by the control goroutine only.
//
// The algorithm follows D. Ongaro, "Consensus: Bridging Theory and Practice", Stanford University,
// 2014: chapters 3 (log replication), 4.2 (single-server membership changes), 5 (snapshots), 6.4
// (confirmation by heartbeat round) and 9.6 (pre-vote).
package raft

import (
	"math"
	"math/rand/v2"

	"verbenabank/core/clock"
	"verbenabank/core/state/peer"
)

// Intervals, timeouts and limits.
const (
	HeartbeatInterval  = 50 * clock.Millisecond
	ElectionTimeoutMin = 150 * clock.Millisecond
	ElectionTimeoutMax = 300 * clock.Millisecond
	HelloInterval      = 200 * clock.Millisecond
	minRoundInterval   = 5 * clock.Millisecond // minimum interval between rounds started for confirmation requests
	helloReplyTTL      = 2 * clock.Second      // how long a reply to Hello is valid
	silenceTimeout     = clock.Second          // time without contact after which a member may be removed

	maxInFlight    = 8       // requests with entries, per follower
	maxUncommitted = 1 << 14 // entries; from this many on, proposals are dropped

	// Never is the time of a timer that is not set.
	Never clock.Millis = math.MaxInt64
)

// Node is one replica of the replicated log.
type Node struct {
	address         string
	seeds           []string
	bootstrap       bool
	openMembership  bool
	minVoters       int // no voter is removed for being unresponsive if this many or fewer are left
	random          *rand.Rand
	stored          peer.StoredState
	trailing        peer.Index
	trailingBytes   int
	chunkSize       int // bytes of a snapshot in one message
	maxRequestBytes int // bytes of entries in one message
	timeoutScale    clock.Millis

	id    peer.ID
	group peer.Group
	term  peer.Term
	vote  peer.ID

	role             Role
	leader           peer.ID
	leaderContact    clock.Millis // last message from the leader
	log              memlog
	snapshot         peer.Snapshot
	commit           peer.Index
	applied          peer.Index
	members          peer.Members // newest, committed or not
	membersIndex     peer.Index   // index of the entry that set members
	committedMembers peer.Members // as of the commit index
	knownVoter       bool         // another member reported a committed entry that makes this replica a voter
	addresses        map[peer.ID]string

	now       clock.Millis
	effects   []Effect
	failed    *Error
	disk      diskState
	timer     timers
	votes     map[peer.ID]bool
	lead      leadership
	discovery discovery
	incoming  incomingSnapshot
}

// New returns a node. Its first event must be Started.
func New(opts ...Option) *Node {
	n := &Node{
		role: Blank{}, random: rand.New(rand.NewPCG(1, 1)), trailing: 4096, trailingBytes: 8 << 20, chunkSize: 256 << 10, maxRequestBytes: 256 << 10,
		timeoutScale: 1,
		addresses:    map[peer.ID]string{}, timer: noTimers(), discovery: newDiscovery(),
	}
	for _, o := range opts {
		o(n)
	}
	return n
}

// Step handles an event at time now and returns the effects to carry out, in order. After
// InvariantViolated it returns nothing more.
func (n *Node) Step(now clock.Millis, e Event) []Effect {
	if n.failed != nil {
		return nil
	}
	n.now = now
	n.effects = nil
	n.handle(e)
	n.runTimers()
	n.flush()
	if n.failed != nil {
		return []Effect{InvariantViolated{err: n.failed}}
	}
	return n.effects
}

func (n *Node) handle(e Event) {
	switch e := e.(type) {
	case Started:
		n.start()
	case Ticked:
	case Received:
		n.receive(e.message)
	case Persisted:
		n.onPersisted(e.sequence)
	case Proposed:
		n.propose(e)
	case ConfirmRequested:
		n.requestConfirm(e.token)
	case SnapshotTaken:
		n.compact(e)
	case TransferRequested:
		n.startTransfer()
	}
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

// become changes the role and emits RoleChanged if it is another one.
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

// mayVote reports whether this replica may vote: it has an entry of the group, or knows of a committed
// entry that makes it a voter. Whether its vote counts depends on the members in the candidate's log,
// which may be newer than those in its own.
func (n *Node) mayVote() bool { return n.knownVoter || !n.logEmpty() }

// mayLead reports whether this replica may stand for election: it is a voter by the committed members
// or by the newest ones.
func (n *Node) mayLead() bool { return n.committedMembers.IsVoter(n.id) || n.members.IsVoter(n.id) }

// addressOf returns the address of a replica, "" if it is not known.
func (n *Node) addressOf(id peer.ID) string {
	if id == n.id {
		return n.address
	}
	if r, ok := n.members.Find(id); ok {
		return r.Address()
	}
	return n.addresses[id]
}

// send sends a message at once, without waiting for the disk. Without an address it does nothing.
func (n *Node) send(to peer.ID, t peer.Term, b peer.Body) {
	address := n.addressOf(to)
	if address == "" {
		return
	}
	header := peer.NewHeader(n.group, n.id, n.address, to)
	n.emit(Send{address: address, message: peer.NewMessage(header, t, b)})
}

// sendDurable sends a message once all decisions made so far are durable, if the term is still the
// same then.
func (n *Node) sendDurable(to peer.ID, b peer.Body) {
	n.afterSync(func() { n.send(to, n.term, b) })
}
