package agent

import (
	"verbenabank/core/command/hold"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
)

// setTarget replaces the target; the zero value means none. It is not yet known what the new
// target holds.
func (a *Agent) setTarget(t target) {
	a.target = t
	a.resetBook()
}

// resetBook starts with an empty record of what the target holds: it holds nothing, or the leader
// has waited until all its holds had expired.
func (a *Agent) resetBook() {
	if a.book != nil {
		a.lastOrderID = a.book.LastCallID()
	}
	a.book = nil
	if a.target.service != "" {
		a.book = hold.New(min(a.maxHold, a.terms.TTL()), a.lastOrderID)
	}
}

// discardBook drops the record of what the target held, when the target is lost.
func (a *Agent) discardBook() {
	if a.book != nil {
		a.lastOrderID, a.book = a.book.LastCallID(), nil
	}
}

// useTarget directs traffic to the target.
func (a *Agent) useTarget() {
	a.emit(UseTarget{service: a.target.service, address: a.target.address, name: a.target.name, slots: a.slots})
}

// setSlots sets how many requests the target runs at once.
func (a *Agent) setSlots(slots int) {
	if slots == a.slots || a.refusesNewWork() {
		return
	}
	a.slots = slots
	a.useTarget()
}

// followSpans updates the spans that the target should hold from the table.
func (a *Agent) followSpans() {
	if a.book == nil {
		return
	}
	v, ok := a.rulesOf(a.target.service)
	if _, ordered := v.Kind().(rules.Ordered); ok && ordered && a.joined {
		a.book.Reconcile(a.table.Spans(a.target.service), a.self, a.now)
		if a.refusesNewWork() {
			a.book.ReleaseAll()
		}
	}
}

// issueOrders sends the target the orders that are due, and renews the lease at once when the
// target has released keys, so that the leader learns of it.
func (a *Agent) issueOrders() {
	if a.book == nil || a.renewalsStopped() {
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

// orderEnded records the result of an order, and renews the lease at once when it released keys.
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

// spanReleases returns the key spans to report as released.
func (a *Agent) spanReleases() []logcmd.ReleaseSpan {
	if a.book == nil {
		return nil
	}
	return a.book.Releases(a.target.service)
}

// heldRuns returns the key ranges that the target is certain to hold.
func (a *Agent) heldRuns() []snap.HeldRange {
	if a.book == nil || !a.joined {
		return nil
	}
	var list []snap.HeldRange
	for _, r := range a.book.HeldRanges() {
		list = append(list, snap.NewHeldRange(r.First(), r.Last(), r.Until()))
	}
	return list
}
