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
	a.target, a.targetLeft, a.identification = t, false, unidentified{}
	if t.service != "" {
		a.lastUsed = t
	}
	a.resetTracker()
}

// resetTracker starts with an empty record of what the target holds: it holds nothing, or the leader
// has waited until all grants to it had expired.
func (a *Agent) resetTracker() {
	if a.tracker != nil {
		a.lastCallID = a.tracker.LastCallID()
	}
	a.tracker = nil
	if a.target.service != "" {
		a.tracker = hold.New(min(a.maxGrantTTL, a.params.TTL()), a.lastCallID, hold.WithDelivery(a.delivery))
	}
}

// discardTracker drops the record of what the target held, when the target is lost.
func (a *Agent) discardTracker() {
	if a.tracker != nil {
		a.lastCallID, a.tracker = a.tracker.LastCallID(), nil
	}
}

// useTarget directs traffic to the target.
func (a *Agent) useTarget() {
	a.emit(UseTarget{service: a.target.service, address: a.target.address, name: a.target.name, slots: a.slots})
}

// setSlots sets how many requests the target runs at once.
func (a *Agent) setSlots(slots int) {
	if slots == a.slots || a.refusesNewRequests() {
		return
	}
	a.slots = slots
	a.useTarget()
}

// reconcileSpans updates the spans that the target should hold from the table.
func (a *Agent) reconcileSpans() {
	if a.tracker == nil {
		return
	}
	v, ok := a.rulesOf(a.target.service)
	if _, ordered := v.Kind().(rules.Ordered); ok && ordered && a.joined {
		a.tracker.Reconcile(a.table.Spans(a.target.service), a.self, a.now)
		if a.refusesNewRequests() {
			a.tracker.ReleaseAll()
		}
	}
}

// sendDueCalls sends the target the calls that are due.
func (a *Agent) sendDueCalls() {
	if a.tracker == nil || a.renewalsStopped() {
		return
	}
	a.tracker.SetLeaseEnd(a.holder.End())
	a.reportingReleases(func() {
		for _, c := range a.tracker.DueCalls(a.now) {
			a.emit(SendCall{call: c})
		}
	})
}

// reportingReleases makes a change to the tracker, and renews the lease at once if the target has
// released keys, so that the leader learns of it.
func (a *Agent) reportingReleases(change func()) {
	before := len(a.spanReleases())
	change()
	if a.joined && len(a.spanReleases()) > before {
		a.renew()
	}
}

// callEnded records the result of a call to the target.
func (a *Agent) callEnded(e CallEnded) {
	if a.tracker == nil {
		return
	}
	a.reportingReleases(func() {
		a.tracker.HandleResult(e.id, e.result, a.now)
		a.publish()
	})
	if a.tracker.TargetEnded() {
		a.targetLost(NewTargetLost(PortClosed{}))
	}
}

// spanReleases returns the key spans to report as released.
func (a *Agent) spanReleases() []logcmd.ReleaseSpan {
	if a.tracker == nil {
		return nil
	}
	return a.tracker.Releases(a.target.service)
}

// heldRanges returns the key ranges that the target is certain to hold.
func (a *Agent) heldRanges() []snap.HeldRange {
	if a.tracker == nil || !a.joined {
		return nil
	}
	var list []snap.HeldRange
	for _, r := range a.tracker.HeldRanges() {
		list = append(list, snap.NewHeldRange(r.First(), r.Last(), r.Until()))
	}
	return list
}
