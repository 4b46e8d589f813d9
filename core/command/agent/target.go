package agent

// announced handles the announcement of the local target.
func (a *Agent) announced(e Announced) {
	t := target{service: e.service, address: e.address, boot: e.boot, name: e.name, incarnation: e.incarnation, startTime: e.startTime}
	switch {
	case a.hasLeft(t):
	case t == a.target:
		a.setSlots(e.slots)
	case t == a.nextTarget:
	case a.target.service == "" && a.isServing():
		a.nextTarget, a.slots = t, e.slots
		a.replaceTarget()
	case a.isServing():
		a.nextTarget, a.slots = t, e.slots
		a.drainReplacedTarget()
	default:
		a.nextTarget, a.slots = t, e.slots
	}
}

func (a *Agent) isServing() bool {
	_, ok := a.shutdown.(serving)
	return ok
}

// hasLeft reports whether the table says that the target process has left. A daemon that was restarted
// learns it from there, if an old announcement reaches it late.
func (a *Agent) hasLeft(t target) bool { return a.table.HasLeft(a.instance, t.startTime) }

// withdrawn hands over the shards before the target may stop.
func (a *Agent) withdrawn() {
	if a.target.service == "" {
		a.emit(TargetReleased{})
		return
	}
	a.targetLeft = true
	if a.isServing() {
		a.startHandover(targetWithdrawn{})
		return
	}
	a.sendLeave()
}

// drainReplacedTarget gives up a target in whose place another one was announced. That is no evidence about
// the target itself, since announcements may be late: it must release the keys that it was granted, or its grants
// must end.
func (a *Agent) drainReplacedTarget() {
	a.emit(DropTarget{})
	a.drain(targetFailed{})
}

// targetLost gives up what the daemon owns. A dead target runs nothing, so everything is released
// as soon as no request is counted as in flight. A target with a closed port first finishes its
// requests, and releases the keys that it was granted unless a call to it shows that it has ended. An
// unresponsive one may continue under the lease that it was last told, so that lease must expire first.
func (a *Agent) targetLost(e TargetLost) {
	if a.target.service == "" || a.refusesNewRequests() {
		return
	}
	switch e.loss.(type) {
	case Dead:
		a.discardTracker()
		a.emit(DropTarget{})
		a.drain(a.causeAfterLoss())
	case PortClosed:
		if a.grantsByHeartbeat() {
			a.discardTracker() // no call can ask it
		}
		a.emit(DrainTarget{})
		a.drain(a.causeAfterLoss())
	case Unresponsive:
		a.awaitLeaseExpiry()
	}
}

// causeAfterLoss returns the cause of the shutdown under way, or targetFailed.
func (a *Agent) causeAfterLoss() shutdownCause {
	if st, ok := a.shutdown.(handingOver); ok {
		return st.cause
	}
	return targetFailed{}
}

// awaitLeaseExpiry disconnects an unresponsive target and keeps the incarnation until the lease that
// the target may know of has expired.
func (a *Agent) awaitLeaseExpiry() {
	a.shutdown = awaitingExpiry{leaseEnd: max(a.now, a.holder.End()), cause: a.causeAfterLoss()}
	a.publish()
	a.emit(DropTarget{})
}

// stopRequested starts the shutdown of the daemon, or makes it the cause of the one under way.
func (a *Agent) stopRequested() {
	switch st := a.shutdown.(type) {
	case serving:
		a.startHandover(processStopping{})
	case handingOver:
		a.shutdown = handingOver{deadline: st.deadline, cause: processStopping{}}
	case draining:
		a.shutdown = draining{cause: processStopping{}, idle: st.idle}
	case awaitingExpiry:
		a.shutdown = awaitingExpiry{leaseEnd: st.leaseEnd, cause: processStopping{}}
	case departed:
	}
}
