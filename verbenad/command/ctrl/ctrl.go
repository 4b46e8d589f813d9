// Package ctrl runs the one goroutine that owns all control state of a process:
// the daemon's agent and, on control replicas, the replicated log, the fleet
// state and the leader.
//
// All others reach it by events. It calls the decisions of core/command and hands
// their effects to ports that do not block.
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

// queueLength is how many events may wait for the control goroutine.
const queueLength = 8192

// Loop is the control goroutine with its state. Post and View are safe for
// concurrent use; all else belongs to Run.
type Loop struct {
	clock  *clock.Clock
	stamp  Stamp
	codec  *codec.Codec
	log    *logrus.Entry
	events chan Event
	urgent chan Event
	done   chan struct{}
	view   atomic.Pointer[view.View]

	agent  *agent.Agent
	terms  lease.Params
	cell   *snap.Store
	uplink Uplink
	target Target
	flight Flight
	waiter Waiter

	node    *raft.Node
	waiting []raft.Event
	peers   Peers
	disk    Log
	fleet   *fleet.State
	leader  *leader.Leader
	outlets map[leader.SessionID]Outlet
	pending map[uint64]pending
	token   uint64
	packed  uint64
	failed  error
}

// New returns a loop with opts applied.
func New(opts ...Option) *Loop {
	l := &Loop{
		clock:   clock.New(),
		codec:   codec.New(),
		terms:   lease.DefaultParams(),
		log:     logrus.NewEntry(logrus.StandardLogger()),
		events:  make(chan Event, queueLength),
		urgent:  make(chan Event, queueLength),
		done:    make(chan struct{}),
		fleet:   fleet.New(),
		outlets: map[leader.SessionID]Outlet{},
		pending: map[uint64]pending{},
	}
	for _, o := range opts {
		o(l)
	}
	l.view.Store(view.New(l.fleet))
	return l
}

// Post hands the loop an event. It waits while the queue is full, and loses the
// event if the loop has ended.
func (l *Loop) Post(e Event) {
	select {
	case l.queue(e) <- e:
	case <-l.done:
	}
}

// queue returns where an event waits. Those of the replicated log go first, so that
// many reports of daemons cannot hold up heartbeats and votes.
func (l *Loop) queue(e Event) chan Event {
	switch e.(type) {
	case PeerMessage, Persisted, DiskFailed:
		return l.urgent
	case AgentEvent, SessionOpened, SessionClosed, LeaderEvent, Proposed, Compacted, TransferRequested, ReadRequested:
		return l.events
	}
	return l.events
}

// Run carries out events until ctx ends or the state cannot be trusted any more.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	if err := crash.Catch(l.log, "control", func() { l.serve(ctx) }); err != nil {
		l.fail("run", Panicked, err)
	}
	if l.failed == nil {
		return nil
	}
	_ = crash.Catch(l.log, "abandon", l.abandon)
	l.waiter.Failed(l.failed)
	return l.failed
}

// serve carries out events until ctx ends or something failed.
func (l *Loop) serve(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	if l.node != nil {
		l.stepNode(raft.Started{})
	}
	for l.failed == nil {
		l.show()
		timer.Reset(max(0, l.wake().Sub(l.clock.Now())).Duration())
		select {
		case e := <-l.urgent:
			l.react(e)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			l.tick()
		case e := <-l.urgent:
			l.react(e)
		case e := <-l.events:
			l.react(e)
		}
	}
}

// abandon sends all daemons elsewhere, since nothing answers them here any more.
func (l *Loop) abandon() {
	for s, o := range l.outlets {
		o.Redirect("")
		delete(l.outlets, s)
	}
}

// Done returns a channel that is closed once Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

func (l *Loop) wake() clock.Millis {
	wake := l.agent.NextTick()
	if l.node != nil {
		wake = min(wake, l.node.NextTick())
	}
	if l.leader != nil {
		wake = min(wake, l.leader.NextTick())
	}
	return wake
}

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

func (l *Loop) react(e Event) {
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
		l.open(e)
	case SessionClosed:
		l.closed(e.session)
	case LeaderEvent:
		l.stepLeader(e.inner)
	case Proposed:
		l.offered(e)
	case Compacted:
		l.stepNode(raft.NewSnapshotTaken(peer.Index(e.index), e.data))
	case DiskFailed:
		l.fail("append", Storage, e.err)
	case ReadRequested:
		l.consulted(e)
	case TransferRequested:
		l.stepNode(raft.TransferRequested{})
	}
}

func (l *Loop) fail(op string, k Kind, cause error) {
	if l.failed == nil {
		l.failed = &Error{op: op, kind: k, cause: cause}
		l.log.WithError(l.failed).Error("ctrl: cannot go on")
	}
}
