package agent

import (
	"math"

	"verbenabank/core/clock"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

const (
	// goneWait is how long a stopping daemon waits until the others know that it
	// is gone, so that nothing is sent to it when its ports close.
	goneWait = clock.Second
	never    = clock.Millis(math.MaxInt64)
)

// exit is how far the daemon is with giving up its target: staying, leaving,
// draining, fading or gone.
type exit interface{ exit() }

// staying daemons serve their target.
type staying struct{}

// leaving daemons hand over their shards until the instant.
type leaving struct {
	until   clock.Millis
	purpose purpose
}

// draining daemons take no new work and wait for requests in flight.
type draining struct {
	purpose purpose
	empty   bool
}

// fading daemons wait until the lease that their mute target may know of lapsed.
type fading struct {
	until   clock.Millis
	purpose purpose
}

// gone daemons hold nothing and wait until the others know, or the instant.
type gone struct{ until clock.Millis }

func (staying) exit()  {}
func (leaving) exit()  {}
func (draining) exit() {}
func (fading) exit()   {}
func (gone) exit()     {}

// purpose is why a target is given up: stopping, withdrawing or losing.
type purpose interface{ purpose() }

// stopping daemons end their process.
type stopping struct{}

// withdrawing targets asked to stop.
type withdrawing struct{}

// losing daemons found their target dead.
type losing struct{}

func (stopping) purpose()    {}
func (withdrawing) purpose() {}
func (losing) purpose()      {}

// parted reports whether the target takes no new work.
func (a *Agent) parted() bool {
	switch a.leave.(type) {
	case draining, fading, gone:
		return true
	case staying, leaving:
		return false
	}
	return true
}

// silent reports whether renewals are stopped.
func (a *Agent) silent() bool {
	switch a.leave.(type) {
	case fading, gone:
		return true
	case staying, leaving, draining:
		return false
	}
	return true
}

// deadline returns the instant at which the exit goes on by itself.
func (a *Agent) deadline() (clock.Millis, bool) {
	switch l := a.leave.(type) {
	case leaving:
		return l.until, true
	case fading:
		return l.until, true
	case gone:
		return l.until, true
	case staying, draining:
		return 0, false
	}
	return 0, false
}

// progress moves the exit on when its time or its condition has come.
func (a *Agent) progress() {
	switch l := a.leave.(type) {
	case leaving:
		if a.now >= l.until || a.handedOver() {
			a.drain(l.purpose)
		}
	case fading:
		if a.now >= l.until {
			a.finish(l.purpose)
		}
	case gone:
		if _, known := a.table.Member(a.self); l.until != never && (!known || a.now >= l.until) {
			a.leave = gone{until: never}
			a.emit(Stopped{})
		}
	case draining:
		if l.empty && (a.book == nil || a.book.HoldsNothing(a.now)) {
			a.finish(l.purpose)
		}
	case staying:
	}
}

// handedOver reports whether the others know that this daemon leaves and it
// holds nothing any more.
func (a *Agent) handedOver() bool {
	if !a.joined {
		return true
	}
	m, _ := a.table.Member(a.self)
	_, known := m.Phase().(table.Leaving)
	return known && !a.holds()
}

// startLeaving asks the leader to move the shards away.
func (a *Agent) startLeaving(p purpose) {
	a.leave = leaving{until: a.now.Add(a.drainSpan()), purpose: p}
	if a.joined && a.connected {
		a.emit(SendLeave{incarnation: a.self})
	}
}

func (a *Agent) drainSpan() clock.Millis {
	span := rules.DefaultDrain
	if v, ok := a.rulesOf(a.target.service); ok {
		span = v.Drain()
	}
	if a.drainMax > 0 {
		span = min(span, a.drainMax)
	}
	return span
}

// drain takes no new work and waits for requests in flight.
func (a *Agent) drain(p purpose) {
	a.leave = draining{purpose: p}
	if a.book != nil {
		a.book.ReleaseAll()
	}
	a.publish()
	a.emit(AwaitAllDrained{})
}

// settleExit goes on with an exit whose shards are lost anyway.
func (a *Agent) settleExit() {
	if l, ok := a.leave.(leaving); ok {
		a.drain(l.purpose)
	}
}

func (a *Agent) allDrained() {
	if l, ok := a.leave.(draining); ok {
		a.leave = draining{purpose: l.purpose, empty: true}
	}
}

// finish gives up the incarnation, which holds nothing any more.
func (a *Agent) finish(p purpose) {
	a.leave = staying{}
	a.setTarget(target{})
	a.emit(DropTarget{})
	switch p.(type) {
	case stopping:
		a.emit(TargetReleased{})
		a.giveUp()
		a.leave = gone{until: a.now.Add(goneWait)}
	case withdrawing:
		a.emit(TargetReleased{})
		a.replaceIdentity()
	case losing:
		a.replaceIdentity()
	}
}

// giveUp tells the leader that this incarnation holds nothing any more.
func (a *Agent) giveUp() {
	if a.joined && a.connected {
		a.emit(SendGone{incarnation: a.self})
	}
	a.joined = false
	a.holder.Relinquish()
	a.publish()
}

// replaceIdentity joins as a new incarnation with the target that is there now.
func (a *Agent) replaceIdentity() {
	next := a.next
	a.next = target{}
	a.giveUp()
	a.setTarget(next)
	if next.service != "" {
		a.useTarget()
	}
	a.renewIdentity()
}
