package agent

// announced takes note of the target beside. A new boot of a known target means
// that the old one is dead.
func (a *Agent) announced(e Announced) {
	t := target{service: e.service, address: e.address, boot: e.boot, name: e.name, life: e.life, born: e.born}
	switch {
	case t == a.target:
		a.setRoom(e.room)
	case t == a.next:
	case a.target.service == "" && a.stays():
		a.next, a.room = t, e.room
		a.replaceIdentity()
	case a.stays():
		a.next, a.room = t, e.room
		a.targetLost(NewTargetLost(Dead{}))
	default:
		a.next, a.room = t, e.room
	}
}

func (a *Agent) stays() bool {
	_, ok := a.leave.(staying)
	return ok
}

func (a *Agent) withdrawn() {
	if a.target.service == "" {
		a.emit(TargetReleased{})
		return
	}
	if a.stays() {
		a.startLeaving(withdrawing{})
	}
}

// targetLost gives up what the daemon owns. A dead target runs nothing, so all is
// given back once traffic noticed; a shut one first finishes what it has; a mute one may go on
// under the lease that it was told, so the lease must lapse first.
func (a *Agent) targetLost(e TargetLost) {
	if a.target.service == "" || a.parted() {
		return
	}
	switch e.loss.(type) {
	case Dead:
		a.giveBack(DropTarget{})
	case PortClosed:
		a.giveBack(DrainTarget{})
	case Unresponsive:
		a.loseMute()
	}
}

// giveBack parts from a target that runs nothing more, or begins nothing more, and gives back what
// the daemon owns once nothing is in flight.
func (a *Agent) giveBack(parting Effect) {
	a.emit(parting)
	a.dropBook()
	a.drain(a.afterLoss())
}

// afterLoss keeps the purpose of an exit that was under way.
func (a *Agent) afterLoss() purpose {
	if l, ok := a.leave.(leaving); ok {
		return l.purpose
	}
	return losing{}
}

func (a *Agent) loseMute() {
	a.leave = fading{until: max(a.now, a.holder.End()), purpose: a.afterLoss()}
	a.publish()
	a.emit(DropTarget{})
}

func (a *Agent) stopAsked() {
	switch l := a.leave.(type) {
	case staying:
		a.startLeaving(stopping{})
	case leaving:
		a.leave = leaving{until: l.until, purpose: stopping{}}
	case draining:
		a.leave = draining{purpose: stopping{}, empty: l.empty}
	case fading:
		a.leave = fading{until: l.until, purpose: stopping{}}
	case gone:
	}
}
