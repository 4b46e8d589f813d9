package agent

import (
	"math"

	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

const (
	// departureTimeout is how long a stopping daemon waits until the others know that it
	// is gone, so that nothing is sent to it when its ports close.
	departureTimeout = clock.Second
	never            = clock.Millis(math.MaxInt64)
)

// shutdownState is how far the daemon is with giving up its target: staying, leaving,
// draining, fading or gone.
type shutdownState interface{ shutdownState() }

// serving daemons serve their target.
type serving struct{}

// handingOver daemons hand over their shards until the instant.
type handingOver struct {
	deadline clock.Millis
	cause    shutdownCause
}

// draining daemons take no new work and wait for requests in flight.
type draining struct {
	cause shutdownCause
	idle  bool
}

// awaitingExpiry daemons wait until the lease that their mute target may know of lapsed.
type awaitingExpiry struct {
	leaseEnd clock.Millis
	cause    shutdownCause
}

// departed daemons hold nothing and wait until the others know, or the instant.
type departed struct{ deadline clock.Millis }

func (serving) shutdownState()        {}
func (handingOver) shutdownState()    {}
func (draining) shutdownState()       {}
func (awaitingExpiry) shutdownState() {}
func (departed) shutdownState()       {}

// shutdownCause is why a target is given up: stopping, withdrawing or losing.
type shutdownCause interface{ shutdownCause() }

// processStopping daemons end their process.
type processStopping struct{}

// targetWithdrawn targets asked to stop.
type targetWithdrawn struct{}

// targetFailed daemons found their target dead.
type targetFailed struct{}

func (processStopping) shutdownCause() {}
func (targetWithdrawn) shutdownCause() {}
func (targetFailed) shutdownCause()    {}

// refusesNewWork reports whether the target takes no new work.
func (a *Agent) refusesNewWork() bool {
	switch a.shutdown.(type) {
	case draining, awaitingExpiry, departed:
		return true
	case serving, handingOver:
		return false
	}
	return true
}

// renewalsStopped reports whether renewals are stopped.
func (a *Agent) renewalsStopped() bool {
	switch a.shutdown.(type) {
	case awaitingExpiry, departed:
		return true
	case serving, handingOver, draining:
		return false
	}
	return true
}

// shutdownDeadline returns the instant at which the exit goes on by itself.
func (a *Agent) shutdownDeadline() (clock.Millis, bool) {
	switch l := a.shutdown.(type) {
	case handingOver:
		return l.deadline, true
	case awaitingExpiry:
		return l.leaseEnd, true
	case departed:
		return l.deadline, true
	case serving, draining:
		return 0, false
	}
	return 0, false
}

// advanceShutdown moves the exit on when its time or its condition has come.
func (a *Agent) advanceShutdown() {
	switch l := a.shutdown.(type) {
	case handingOver:
		if a.now >= l.deadline || a.handoverComplete() {
			a.drain(l.cause)
		}
	case awaitingExpiry:
		if a.now >= l.leaseEnd {
			a.finish(l.cause)
		}
	case departed:
		if _, known := a.table.Member(a.self); l.deadline != never && (!known || a.now >= l.deadline) {
			a.shutdown = departed{deadline: never}
			a.emit(Stopped{})
		}
	case draining:
		if l.idle && (a.book == nil || a.book.Free(a.now)) {
			a.finish(l.cause)
		}
	case serving:
	}
}

// handoverComplete reports whether the others know that this daemon leaves and it
// holds nothing any more.
func (a *Agent) handoverComplete() bool {
	if !a.joined {
		return true
	}
	m, _ := a.table.Member(a.self)
	_, known := m.Phase().(table.Leaving)
	return known && !a.holdsShards()
}

// startHandover asks the leader to move the shards away.
func (a *Agent) startHandover(p shutdownCause) {
	a.shutdown = handingOver{deadline: a.now.Add(a.drainSpan()), cause: p}
	if a.joined && a.connected {
		a.emit(SendLeave{incarnation: a.self})
	}
}

func (a *Agent) drainSpan() clock.Millis {
	span := rules.DefaultDrain
	if v, ok := a.rulesOf(a.target.service); ok {
		span = v.Drain()
	}
	if a.maxDrain > 0 {
		span = min(span, a.maxDrain)
	}
	return span
}

// drain takes no new work and waits for requests in flight.
func (a *Agent) drain(p shutdownCause) {
	a.shutdown = draining{cause: p}
	if a.book != nil {
		a.book.Retire()
	}
	a.publish()
	a.emit(WatchAll{})
}

// drainIfHandingOver goes on with an exit whose shards are lost anyway.
func (a *Agent) drainIfHandingOver() {
	if l, ok := a.shutdown.(handingOver); ok {
		a.drain(l.cause)
	}
}

func (a *Agent) allDrained() {
	if l, ok := a.shutdown.(draining); ok {
		a.shutdown = draining{cause: l.cause, idle: true}
	}
}

// finish gives up the incarnation, which holds nothing any more.
func (a *Agent) finish(p shutdownCause) {
	a.shutdown = serving{}
	a.setTarget(target{})
	a.emit(DropTarget{})
	switch p.(type) {
	case processStopping:
		a.emit(Freed{})
		a.resign()
		a.shutdown = departed{deadline: a.now.Add(departureTimeout)}
	case targetWithdrawn:
		a.emit(Freed{})
		a.replaceTarget()
	case targetFailed:
		a.replaceTarget()
	}
}

// resign tells the leader that this incarnation holds nothing any more.
func (a *Agent) resign() {
	if a.joined && a.connected {
		a.emit(SendGone{incarnation: a.self})
	}
	a.joined = false
	a.holder.GiveUp()
	a.publish()
}

// replaceTarget joins as a new incarnation with the target that is there now.
func (a *Agent) replaceTarget() {
	next := a.nextTarget
	a.nextTarget = target{}
	a.resign()
	a.setTarget(next)
	if next.service != "" {
		a.useTarget()
	}
	a.rejoin()
}
