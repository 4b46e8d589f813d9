package agent

import (
	"verbenabank/core/command/hold"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
)

// setTarget takes another target, or none. What it holds is not known yet.
func (a *Agent) setTarget(t target) {
	a.target = t
	a.renewBook()
}

// renewBook forgets what the target holds: it holds nothing, or the leader waited until all
// it held had ended.
func (a *Agent) renewBook() {
	if a.book != nil {
		a.orders = a.book.LastCallID()
	}
	a.book = nil
	if a.target.service != "" {
		a.book = hold.New(min(a.hold, a.terms.TTL()), a.orders)
	}
}

// dropBook forgets what the target held: it is dead.
func (a *Agent) dropBook() {
	if a.book != nil {
		a.orders, a.book = a.book.LastCallID(), nil
	}
}

// useTarget sends traffic to the target.
func (a *Agent) useTarget() {
	a.emit(UseTarget{service: a.target.service, address: a.target.address, name: a.target.name, room: a.room})
}

// setRoom takes over how many requests the target runs at once.
func (a *Agent) setRoom(room int) {
	if room == a.room || a.parted() {
		return
	}
	a.room = room
	a.useTarget()
}

// followSpans takes over from the table what the target is to hold.
func (a *Agent) followSpans() {
	if a.book == nil {
		return
	}
	v, ok := a.rulesOf(a.target.service)
	if _, ordered := v.Kind().(rules.Ordered); ok && ordered && a.joined {
		a.book.Reconcile(a.table.Spans(a.target.service), a.self, a.now)
		if a.parted() {
			a.book.ReleaseAll()
		}
	}
}

// command gives the target the orders that are due, and tells the leader at once of keys
// that the target does not hold any more.
func (a *Agent) command() {
	if a.book == nil || a.silent() {
		return
	}
	a.book.SetLeaseEnd(a.holder.End())
	before := len(a.spanReleases())
	for _, o := range a.book.DueCalls(a.now) {
		a.emit(SendCall{order: o})
	}
	if a.joined && len(a.spanReleases()) > before {
		a.renew()
	}
}

// orderEnded takes the result of an order.
func (a *Agent) orderEnded(e CallEnded) {
	if a.book == nil {
		return
	}
	before := len(a.spanReleases())
	a.book.HandleResult(e.id, e.result, a.now)
	a.publish()
	if a.joined && len(a.spanReleases()) > before {
		a.renew()
	}
}

// spanReleases returns the keys to give back.
func (a *Agent) spanReleases() []logcmd.ReleaseSpan {
	if a.book == nil {
		return nil
	}
	return a.book.Releases(a.target.service)
}

// runs returns the keys that the target surely holds.
func (a *Agent) runs() []snap.HeldRange {
	if a.book == nil || !a.joined {
		return nil
	}
	var list []snap.HeldRange
	for _, r := range a.book.HeldRanges() {
		list = append(list, snap.NewHeldRange(r.First(), r.Last(), r.Until()))
	}
	return list
}
