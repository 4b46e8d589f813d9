package agent

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/grant"
)

// maxAnswerDelay is how long a heartbeat may wait for news about the target's keys. Its answer can then
// carry a change at once, instead of the answer to the next heartbeat.
const maxAnswerDelay = 700 * clock.Millisecond

// newsDelay is how long an answer with news waits for more, such as further ranges of the same move.
const newsDelay = 10 * clock.Millisecond

// heartbeatState is the state of the last heartbeat: answered or waiting.
type heartbeatState interface{ heartbeatState() }

// answered heartbeats need nothing more.
type answered struct{}

// waiting heartbeats are answered when there is news about the target's keys, or at the deadline.
type waiting struct {
	id       uint64
	arrived  clock.Millis
	deadline clock.Millis
}

func (answered) heartbeatState() {}
func (waiting) heartbeatState()  {}

// openHeartbeat passes on what the target reported, and decides how long its answer may wait: not at
// all if the heartbeat is urgent, or if its target gets its grants by calls.
func (a *Agent) openHeartbeat(h Heartbeat, urgent bool) {
	a.dismissHeartbeat()
	w := waiting{id: h.id, arrived: a.now, deadline: a.now}
	if a.grantsByHeartbeat() && a.target.name == h.name {
		a.tracker.SetLeaseEnd(a.holder.End())
		a.reportingReleases(func() { a.tracker.HandleReport(h.report) })
		if !urgent && !a.awaitsLeave() {
			w.deadline = a.now.Add(maxAnswerDelay)
		}
	}
	a.unanswered = w
}

// grantsByHeartbeat reports whether the answers to heartbeats carry grants.
func (a *Agent) grantsByHeartbeat() bool {
	_, ok := a.delivery.(grant.ByHeartbeat)
	return ok && a.tracker != nil
}

// dismissHeartbeat answers a waiting heartbeat that a newer one has overtaken.
func (a *Agent) dismissHeartbeat() {
	if w, ok := a.unanswered.(waiting); ok {
		a.answerNothing(w.id)
		a.unanswered = answered{}
	}
}

// answerNothing answers a heartbeat without saying anything about keys, if it may be acknowledged.
func (a *Agent) answerNothing(id uint64) {
	if !a.awaitsLeave() {
		a.emit(AnswerHeartbeat{id: id, answer: grant.Nothing{}})
	}
}

// awaitsLeave reports whether the target has said that it stops and the table does not say so yet. The
// acknowledgement would bind later processes of the daemon too, which learn it from the table only.
func (a *Agent) awaitsLeave() bool {
	t := a.lastUsed
	return a.lastHeard.retiring && t.startTime > 0 && t.name == a.lastHeard.name && t.startTime == a.lastHeard.startTime && !a.hasLeft(t)
}

// answerHeartbeat answers the waiting heartbeat when it is time. A daemon that must not renew, or has no
// target, says nothing about keys.
func (a *Agent) answerHeartbeat() {
	w, ok := a.unanswered.(waiting)
	if !ok || a.awaitsLeave() {
		return
	}
	if !a.grantsByHeartbeat() || a.renewalsStopped() {
		a.dismissHeartbeat()
		return
	}
	if a.now < w.deadline {
		if w.deadline > a.now+newsDelay && a.tracker.HasNews(w.arrived, a.now) {
			w.deadline = a.now + newsDelay
			a.unanswered = w
		}
		return
	}
	a.emit(AnswerHeartbeat{id: w.id, answer: a.tracker.Offer(w.arrived, a.now)})
	a.unanswered = answered{}
}

// publishHeldRanges publishes the ranges that the target holds if a heartbeat has changed them.
func (a *Agent) publishHeldRanges() {
	if a.tracker != nil && a.tracker.Revision() != a.heldRevision {
		a.publish()
	}
}
