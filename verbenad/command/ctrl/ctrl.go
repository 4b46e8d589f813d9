// Package ctrl runs the single goroutine that owns all control state of a process: the agent of
// the daemon and, on control replicas, the Raft node, the fleet state and the leader.
//
// Other goroutines send it events. It passes them to the state machines of core/command, which make
// all decisions, and carries out the effects that they return through interfaces that do not block.
package ctrl

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/command/leader"
	"verbenabank/core/command/lease"
	"verbenabank/core/command/raft"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/peer"
	"verbenabank/core/state/snap"
	"verbenabank/core/wire/codec"
	"verbenabank/verbenad/command/crash"
	"verbenabank/verbenad/state/view"
)

// queueLength is the capacity of each of the two event queues.
const queueLength = 8192

// Loop is the event loop of the control goroutine and the state that it owns. Post, View and Done
// are safe for concurrent use; everything else belongs to the goroutine that calls Run.
type Loop struct {
	clock     *clock.Clock
	wallClock WallClock
	codec     *codec.Codec
	log       *logrus.Entry
	events    chan Event
	urgent    chan Event
	done      chan struct{}
	view      atomic.Pointer[view.View]

	agent       *agent.Agent
	leaseParams lease.Params
	snapshots   *snap.Store
	uplink      Uplink
	members     Members
	target      Target
	tracker     RequestTracker
	observer    LifecycleObserver

	node          *raft.Node
	nodeEvents    []raft.Event
	peers         PeerTransport
	logStore      LogStore
	fleet         *fleet.State
	leader        *leader.Leader
	leaderOptions []leader.Option
	sessions      map[leader.SessionID]Session
	pending       map[uint64]pendingRequest
	lastToken     uint64
	snapshotIndex uint64
	appliedBytes  int // of log entries since the last snapshot
	failure       error
	rulesSource   string // of the agent's current event
}

// New returns a loop that does not process events until Run is called. Without WithReplica it serves a
// daemon that is not a control replica.
func New(opts ...Option) *Loop {
	l := &Loop{
		clock:       clock.New(),
		codec:       codec.New(),
		leaseParams: lease.DefaultParams(),
		log:         logrus.NewEntry(logrus.StandardLogger()),
		events:      make(chan Event, queueLength),
		urgent:      make(chan Event, queueLength),
		done:        make(chan struct{}),
		fleet:       fleet.New(),
		sessions:    map[leader.SessionID]Session{},
		pending:     map[uint64]pendingRequest{},
	}
	for _, o := range opts {
		o(l)
	}
	l.view.Store(view.New(l.fleet))
	return l
}

// Post adds an event to the loop's queue. It blocks while the queue is full, and discards the event
// if the loop has ended.
func (l *Loop) Post(e Event) {
	select {
	case l.queueFor(e) <- e:
	case <-l.done:
	}
}

// queueFor returns the queue for an event. Events of the replicated log take precedence, so that a
// burst of reports from daemons cannot delay heartbeats and votes of the replicas.
func (l *Loop) queueFor(e Event) chan Event {
	switch e.(type) {
	case PeerMessage, Persisted, DiskFailed:
		return l.urgent
	case AgentEvent, SessionOpened, SessionClosed, LeaderEvent, Proposed, ZoneDrainProposed, SnapshotTaken, TransferRequested, ReadRequested:
		return l.events
	}
	return l.events
}

// Run processes events until ctx is cancelled, when it returns nil, or until a failure after which
// the state can no longer be trusted. In the latter case it redirects all sessions and notifies
// the LifecycleObserver.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	if err := crash.Catch(l.log, "control", func() { l.handleEvents(ctx) }); err != nil {
		l.fail("run", Panicked, err)
	}
	if l.failure == nil {
		return nil
	}
	_ = crash.Catch(l.log, "abandon", l.redirectSessions)
	l.observer.Failed(l.failure)
	return l.failure
}

// handleEvents processes events until ctx is cancelled or a failure is recorded.
func (l *Loop) handleEvents(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	if l.node != nil {
		l.stepNode(raft.Started{})
	}
	for l.failure == nil {
		l.publishView()
		timer.Reset(max(0, l.nextTick().Sub(l.clock.Now())).Duration())
		select {
		case e := <-l.urgent:
			l.handle(e)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			l.tick()
		case e := <-l.urgent:
			l.handle(e)
		case e := <-l.events:
			l.handle(e)
		}
	}
}

// redirectSessions makes all daemons look for another leader, since the failed loop no longer answers
// them.
func (l *Loop) redirectSessions() {
	for id, s := range l.sessions {
		s.Redirect("")
		delete(l.sessions, id)
	}
}

// Done returns a channel that is closed once Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

// nextTick returns the earliest time at which one of the state machines must be ticked.
func (l *Loop) nextTick() clock.Millis {
	next := l.agent.NextTick()
	if l.node != nil {
		next = min(next, l.node.NextTick())
	}
	if l.leader != nil {
		next = min(next, l.leader.NextTick())
	}
	return next
}

// tick ticks the state machines that are due.
func (l *Loop) tick() {
	now := l.clock.Now()
	if l.agent.NextTick() <= now {
		l.stepAgent(agent.Ticked{})
	}
	if l.node != nil && l.node.NextTick() <= now {
		l.stepNode(raft.Ticked{})
	}
	if l.leader != nil && l.leader.NextTick() <= now {
		l.stepLeader(leader.Ticked{})
	}
}

func (l *Loop) handle(e Event) {
	switch e := e.(type) {
	case AgentEvent:
		l.stepAgent(e.inner)
		if e.done != nil {
			e.done()
		}
	case PeerMessage:
		l.stepNode(raft.NewReceived(e.message))
	case Persisted:
		l.stepNode(raft.NewPersisted(e.sequence))
	case SessionOpened:
		l.openSession(e)
	case SessionClosed:
		l.closeSession(e.id)
	case LeaderEvent:
		l.stepLeader(e.inner)
	case Proposed:
		l.proposeRules(e)
	case ZoneDrainProposed:
		l.proposeZoneDrain(e)
	case SnapshotTaken:
		l.stepNode(raft.NewSnapshotTaken(peer.Index(e.index), e.data))
	case DiskFailed:
		l.fail("append", Storage, e.err)
	case ReadRequested:
		l.requestRead(e)
	case TransferRequested:
		l.stepNode(raft.TransferRequested{})
	}
}

// fail records the first failure, which ends the loop.
func (l *Loop) fail(op string, k Kind, cause error) {
	if l.failure == nil {
		l.failure = &Error{op: op, kind: k, cause: cause}
		l.log.WithError(l.failure).Error("ctrl: control goroutine failed and stops")
	}
}
