package agent

import (
	"math"

	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

const (
	// departureTimeout is how long a stopping daemon waits for the other daemons to learn of
	// its departure, so that no request is sent to it once its ports are closed.
	departureTimeout = clock.Second
	never            = clock.Millis(math.MaxInt64)
)

// shutdownState is the progress of giving up the target: serving, handingOver, draining,
// awaitingExpiry or departed.
type shutdownState interface{ shutdownState() }

// serving daemons direct traffic to their target, if they have one.
type serving struct{}

// handingOver daemons hand over their shards, until the deadline at most.
type handingOver struct {
	deadline clock.Millis
	cause    shutdownCause
}

// draining daemons accept no new requests and wait for those in flight; idle is set when none are.
type draining struct {
	cause shutdownCause
	idle  bool
}

// awaitingExpiry daemons wait until the last lease that an unresponsive target may know of has expired.
type awaitingExpiry struct {
	leaseEnd clock.Millis
	cause    shutdownCause
}

// departed daemons hold nothing and wait until the other daemons know it, or for the deadline.
type departed struct{ deadline clock.Millis }

func (serving) shutdownState()        {}
func (handingOver) shutdownState()    {}
func (draining) shutdownState()       {}
func (awaitingExpiry) shutdownState() {}
func (departed) shutdownState()       {}

// shutdownCause is why a target is given up: processStopping, targetWithdrawn or targetFailed.
type shutdownCause interface{ shutdownCause() }

// processStopping means that the daemon itself shuts down.
type processStopping struct{}

// targetWithdrawn means that the target asked to stop.
type targetWithdrawn struct{}

// targetFailed means that the target was lost or replaced.
type targetFailed struct{}

func (processStopping) shutdownCause() {}
func (targetWithdrawn) shutdownCause() {}
func (targetFailed) shutdownCause()    {}

// refusesNewRequests reports whether the target receives no new requests.
func (a *Agent) refusesNewRequests() bool {
	switch a.shutdown.(type) {
	case draining, awaitingExpiry, departed:
		return true
	case serving, handingOver:
		return false
	}
	return true
}

// renewalsStopped reports whether the daemon no longer renews its lease.
func (a *Agent) renewalsStopped() bool {
	switch a.shutdown.(type) {
	case awaitingExpiry, departed:
		return true
	case serving, handingOver, draining:
		return false
	}
	return true
}

// shutdownDeadline returns the instant at which the current state ends by timeout, if it has one.
func (a *Agent) shutdownDeadline() (clock.Millis, bool) {
	switch st := a.shutdown.(type) {
	case handingOver:
		return st.deadline, true
	case awaitingExpiry:
		return st.leaseEnd, true
	case departed:
		return st.deadline, true
	case serving, draining:
		return 0, false
	}
	return 0, false
}

// advanceShutdown enters the next state when the condition or the deadline of the current one is met.
func (a *Agent) advanceShutdown() {
	switch st := a.shutdown.(type) {
	case handingOver:
		if a.now >= st.deadline || a.handoverComplete() {
			a.drain(st.cause)
		}
	case awaitingExpiry:
		a.advanceExpiry(st)
	case departed:
		if _, known := a.table.Member(a.self); st.deadline != never && (!known || a.now >= st.deadline) {
			a.shutdown = departed{deadline: never}
			a.emit(Stopped{})
		}
	case draining:
		if st.idle && (a.tracker == nil || a.tracker.HoldsNothing(a.now)) {
			a.finish(st.cause)
		}
	case serving:
	}
}

// advanceExpiry gives up an unresponsive target once its lease has expired, and each grant to it has ended.
func (a *Agent) advanceExpiry(st awaitingExpiry) {
	if a.now < st.leaseEnd {
		return
	}
	if a.tracker != nil && !a.tracker.HoldsNothing(a.now) {
		a.shutdown = awaitingExpiry{leaseEnd: a.tracker.LastEnd(a.now), cause: st.cause}
		return
	}
	a.finish(st.cause)
}

// handoverComplete reports whether the table shows this daemon as leaving and without shards.
func (a *Agent) handoverComplete() bool {
	if !a.joined {
		return true
	}
	m, _ := a.table.Member(a.self)
	_, known := m.Phase().(table.Leaving)
	return known && !a.holdsShards()
}

// startHandover asks the leader to move the shards to other members.
func (a *Agent) startHandover(c shutdownCause) {
	a.shutdown = handingOver{deadline: a.now.Add(a.drainLimit()), cause: c}
	a.sendLeave()
}

// sendLeave tells the leader that this member is leaving.
func (a *Agent) sendLeave() {
	if a.joined && a.connected {
		a.emit(SendLeave{incarnation: a.self, targetLeft: a.targetLeft})
	}
}

// drainLimit returns the time limit of a handover: that of the rules, capped by maxDrain.
func (a *Agent) drainLimit() clock.Millis {
	limit := rules.DefaultDrain
	if v, ok := a.rulesOf(a.target.service); ok {
		limit = v.Drain()
	}
	if a.maxDrain > 0 {
		limit = min(limit, a.maxDrain)
	}
	return limit
}

// drain refuses new requests and waits for those in flight.
func (a *Agent) drain(c shutdownCause) {
	a.shutdown = draining{cause: c}
	if a.tracker != nil {
		a.tracker.ReleaseAll()
	}
	a.publish()
	a.emit(AwaitAllDrained{})
}

// drainIfHandingOver skips the rest of a handover whose shards are lost anyway.
func (a *Agent) drainIfHandingOver() {
	if st, ok := a.shutdown.(handingOver); ok {
		a.drain(st.cause)
	}
}

func (a *Agent) allDrained() {
	if st, ok := a.shutdown.(draining); ok {
		a.shutdown = draining{cause: st.cause, idle: true}
	}
}

// finish gives up the incarnation, which no longer holds anything.
func (a *Agent) finish(c shutdownCause) {
	a.shutdown = serving{}
	a.setTarget(target{})
	a.emit(DropTarget{})
	switch c.(type) {
	case processStopping:
		a.emit(TargetReleased{})
		a.resign()
		a.shutdown = departed{deadline: a.now.Add(departureTimeout)}
	case targetWithdrawn:
		a.emit(TargetReleased{})
		a.replaceTarget()
	case targetFailed:
		a.replaceTarget()
	}
}

// resign tells the leader that this incarnation no longer holds anything, and gives up the lease.
func (a *Agent) resign() {
	if a.joined && a.connected {
		a.emit(SendGone{incarnation: a.self})
	}
	a.joined = false
	a.holder.Relinquish()
	a.publish()
}

// replaceTarget joins as a new incarnation with the next target, or without one if there is none.
func (a *Agent) replaceTarget() {
	next := a.nextTarget
	if a.hasLeft(next) {
		next = target{}
	}
	a.nextTarget = target{}
	a.resign()
	a.setTarget(next)
	if next.service != "" {
		a.useTarget()
	}
	a.rejoin()
}
