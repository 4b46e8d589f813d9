package agent

// announced takes note of the target beside. A new boot of a known target means
// that the old one is dead.
func (a *Agent) announced(e Announced) {
	t := target{service: e.service, address: e.address, boot: e.boot, name: e.name, incarnation: e.incarnation, startTime: e.startTime}
	switch {
	case t == a.target:
		a.setSlots(e.slots)
	case t == a.nextTarget:
	case a.target.service == "" && a.isServing():
		a.nextTarget, a.slots = t, e.slots
		a.replaceTarget()
	case a.isServing():
		a.nextTarget, a.slots = t, e.slots
		a.targetLost(NewTargetLost(Dead{}))
	default:
		a.nextTarget, a.slots = t, e.slots
	}
}

func (a *Agent) isServing() bool {
	_, ok := a.shutdown.(serving)
	return ok
}

func (a *Agent) withdrawn() {
	if a.target.service == "" {
		a.emit(Freed{})
		return
	}
	if a.isServing() {
		a.startHandover(targetWithdrawn{})
	}
}

// targetLost gives up what the daemon owns. A dead target runs nothing, so all is
// given back once traffic noticed; a shut one first finishes what it has; a mute one may go on
// under the lease that it was told, so the lease must lapse first.
func (a *Agent) targetLost(e TargetLost) {
	if a.target.service == "" || a.refusesNewWork() {
		return
	}
	switch e.loss.(type) {
	case Dead:
		a.drainLostTarget(DropTarget{})
	case Shut:
		a.drainLostTarget(ShutTarget{})
	case Mute:
		a.awaitLeaseExpiry()
	}
}

// drainLostTarget parts from a target that runs nothing more, or begins nothing more, and gives back what
// the daemon owns once nothing is in flight.
func (a *Agent) drainLostTarget(parting Effect) {
	a.emit(parting)
	a.discardBook()
	a.drain(a.causeAfterLoss())
}

// causeAfterLoss keeps the purpose of an exit that was under way.
func (a *Agent) causeAfterLoss() shutdownCause {
	if l, ok := a.shutdown.(handingOver); ok {
		return l.cause
	}
	return targetFailed{}
}

func (a *Agent) awaitLeaseExpiry() {
	a.shutdown = awaitingExpiry{leaseEnd: max(a.now, a.holder.End()), cause: a.causeAfterLoss()}
	a.publish()
	a.emit(DropTarget{})
}

func (a *Agent) stopRequested() {
	switch l := a.shutdown.(type) {
	case serving:
		a.startHandover(processStopping{})
	case handingOver:
		a.shutdown = handingOver{deadline: l.deadline, cause: processStopping{}}
	case draining:
		a.shutdown = draining{cause: processStopping{}, idle: l.idle}
	case awaitingExpiry:
		a.shutdown = awaitingExpiry{leaseEnd: l.leaseEnd, cause: processStopping{}}
	case departed:
	}
}
