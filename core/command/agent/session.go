package agent

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// connect starts a session: a member renews its lease, other daemons join.
func (a *Agent) connect() {
	a.connected = true
	a.joiningSince = 0
	a.holder.DropInFlight()
	if !a.joined {
		a.join()
		return
	}
	a.renew()
	if _, ok := a.shutdown.(handingOver); ok {
		a.sendLeave()
	}
}

// A session is replaced if nothing arrives for joinTimeoutFactor times the timeout of renewals, and
// at least minJoinTimeout, after the request to join. The limit is longer than that of
// renewals since a join must be committed first.
const (
	joinTimeoutFactor = 2
	minJoinTimeout    = 1 * clock.Second
)

// join asks the leader to add this daemon to the fleet. It starts a new session when the leader
// does not answer in time, since the connection may be dead.
func (a *Agent) join() {
	if _, ok := a.shutdown.(serving); !ok || !a.connected {
		return
	}
	switch {
	case a.joiningSince == 0:
		a.joiningSince = a.now
	case a.now.Sub(a.joiningSince) >= max(minJoinTimeout, joinTimeoutFactor*a.params.RenewTimeout()):
		a.connected = false
		a.emit(Reconnect{})
		return
	}
	a.endPredecessors()
	a.emit(SendJoin{member: a.member(), group: a.group})
	a.nextRenew = a.now.Add(a.params.RenewInterval())
}

// member returns the member that this daemon joins as.
func (a *Agent) member() table.Member {
	return table.NewMember(a.self, a.instance, a.zone, a.address, a.target.service, table.Warming{}).WithTargetStartTime(a.target.startTime)
}

func (a *Agent) tick() {
	if a.now < a.nextRenew {
		return
	}
	if a.joined {
		a.renew()
		return
	}
	a.join()
	a.nextRenew = a.now.Add(a.params.RenewInterval())
}

func (a *Agent) renew() {
	a.nextRenew = a.now.Add(a.params.RenewInterval())
	if !a.connected || a.renewalsStopped() {
		return
	}
	if a.holder.OldestUnanswered(a.now) >= a.params.RenewTimeout() {
		a.connected = false
		a.emit(Reconnect{})
		return
	}
	a.holder.RecordSend(a.now)
	a.emit(SendRenew{
		incarnation: a.self,
		sequence:    a.holder.Sequence(),
		version:     a.table.Version(),
		releases:    a.releases(),
		report:      a.report,
		spans:       a.spanReleases(),
	})
	a.report = load.Report{}
}

// leaseGranted extends the lease by an answered renewal. An answer from a control group other than
// that of earlier sessions is ignored: the group was re-created and may know less than this
// daemon.
func (a *Agent) leaseGranted(e LeaseGranted) {
	if a.group != 0 && e.group != a.group {
		a.emit(InvariantViolated{problem: "the leader belongs to another control group than in earlier sessions; restart the daemon if the group was re-created on purpose"})
		return
	}
	if e.version > a.table.Version() {
		a.emit(Reconnect{})
		return
	}
	a.group = e.group
	a.holder.RecordGrant(e.sequence, e.ttl, e.rulesTTL)
	a.publish()
}

// tableUpdated applies an update to the routing table. A gap between versions means that a message
// was lost, so a new session is started, which begins with the full table.
func (a *Agent) tableUpdated(e TableUpdated) {
	a.joiningSince = 0
	base := a.table
	if e.full {
		base = table.Empty()
	} else if e.from != a.table.Version() {
		a.emit(Reconnect{})
		return
	}
	next := base.With(e.to, e.changes...)
	if problem := a.violation(next, e); problem != "" {
		a.rejectUpdate(problem)
		return
	}
	if v, ok := updatedRules(e); ok {
		a.freshness.fromLeader = v
	}
	a.table = a.withNewestRules(next)
	a.trackZoneDrain()
	if a.isServing() && a.hasLeft(a.target) { // it told an earlier process of the daemon
		a.withdrawn()
	}
	a.checkMembership()
	if !a.joined && a.isServing() {
		a.endPredecessors()
	}
	a.dropCompletedHandovers()
	a.reconcileSpans()
	a.publish()
	for _, c := range e.changes {
		a.trackHandover(c)
	}
}

// checkMembership updates the daemon's view of its own membership from the table.
func (a *Agent) checkMembership() {
	m, present := a.table.Member(a.self)
	_, leaving := m.Phase().(table.Leaving)
	switch {
	case present && leaving && !a.joined && a.isServing():
		a.resumeHandover()
	case present && !a.joined && !a.renewalsStopped():
		a.joined = true
		a.nextRenew = a.now
	case !present && a.joined:
		a.rejoin()
	}
}

// resumeHandover completes the handover that an earlier process of the daemon began: its member was
// leaving, and its target may still hold keys. The target joins anew afterwards.
func (a *Agent) resumeHandover() {
	a.joined, a.nextRenew = true, a.now
	a.nextTarget = a.target
	a.startHandover(targetFailed{})
}

// trackHandover begins the handover of a shard that the change moves away from this daemon.
func (a *Agent) trackHandover(c table.Change) {
	h, ok := c.(table.OwnershipSet)
	if !ok {
		return
	}
	m, ok := h.Ownership().(table.Moving)
	if !ok || m.From() != a.self || !a.joined {
		return
	}
	key := release(h.Service(), h.Shard(), m.Epoch())
	if _, known := a.handovers[key]; !known && a.moving(key) {
		a.handovers[key] = open{}
		a.emit(AwaitQuiesced{table: a.table, service: h.Service(), shard: h.Shard(), epoch: m.Epoch(), maxWait: a.quiesceTimeout()})
	}
}

// rejoinRequired replaces an incarnation that is not a member.
func (a *Agent) rejoinRequired(e RejoinRequired) {
	if e.incarnation == a.self {
		a.rejoin()
		a.publish()
	}
}

// rejoin gives up everything that this incarnation held and joins as a new one.
func (a *Agent) rejoin() {
	a.joined = false
	a.holder.Relinquish()
	clear(a.handovers)
	a.resetTracker()
	a.self = a.newIncarnation()
	a.drainIfHandingOver()
	a.join()
}
