package agent

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// connect greets the leader: a member renews, others join.
func (a *Agent) connect() {
	a.connected = true
	a.asking = 0
	a.holder.DropInFlight()
	if !a.joined {
		a.join()
		return
	}
	a.renew()
	if _, ok := a.leave.(leaving); ok {
		a.emit(SendLeave{incarnation: a.self})
	}
}

// The leader may give no sign after this daemon asked to join for joinPatience times the patience
// of renewals, and for joinLeast milliseconds at least: a join is committed first.
const (
	joinPatience = 2
	joinLeast    = 1 * clock.Second
)

// join asks to be a member. A session on which nothing comes back may be silent for good.
func (a *Agent) join() {
	if _, ok := a.leave.(staying); !ok || !a.connected {
		return
	}
	switch {
	case a.asking == 0:
		a.asking = a.now
	case a.now.Sub(a.asking) >= max(joinLeast, joinPatience*a.terms.RenewTimeout()):
		a.connected = false
		a.emit(Reconnect{})
		return
	}
	m := table.NewMember(a.self, a.instance, a.zone, a.address, a.target.service, table.Warming{}).WithTargetStartTime(a.target.born)
	a.emit(SendJoin{member: m, group: a.group})
	a.nextRenew = a.now.Add(a.terms.RenewInterval())
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
	a.nextRenew = a.now.Add(a.terms.RenewInterval())
}

func (a *Agent) renew() {
	a.nextRenew = a.now.Add(a.terms.RenewInterval())
	if !a.connected || a.silent() {
		return
	}
	if a.holder.OldestUnanswered(a.now) >= a.terms.RenewTimeout() {
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

// leaseGiven counts an answered renewal. An answer from a group other than that
// of earlier sessions comes from a group that was founded anew: it may know less
// than this daemon, so nothing of it is used.
func (a *Agent) leaseGiven(e LeaseGranted) {
	if a.group != 0 && e.group != a.group {
		a.emit(InvariantViolated{problem: "the control group is not the one of earlier sessions; restart the daemon if it was founded anew on purpose"})
		return
	}
	if e.version > a.table.Version() {
		a.emit(Reconnect{})
		return
	}
	a.group = e.group
	a.holder.RecordGrant(e.sequence, e.span, e.rulesSpan)
	a.publish()
}

// updated brings the table forward. A gap between versions means that a message
// is missing, so the session starts again with the whole table.
func (a *Agent) updated(e TableUpdated) {
	a.asking = 0
	base := a.table
	if e.full {
		base = table.Empty()
	} else if e.from != a.table.Version() {
		a.emit(Reconnect{})
		return
	}
	next := base.With(e.to, e.changes...)
	if problem := a.broken(next, e.changes); problem != "" {
		a.distrust(problem)
		return
	}
	a.table = next
	a.checkMembership()
	a.dropSettled()
	a.followSpans()
	a.publish()
	for _, c := range e.changes {
		a.follow(c)
	}
}

// checkMembership compares the table with what this daemon believes of itself.
func (a *Agent) checkMembership() {
	m, present := a.table.Member(a.self)
	_, leaving := m.Phase().(table.Leaving)
	switch {
	case present && leaving && !a.joined && a.stays():
		a.resumeLeave()
	case present && !a.joined && !a.silent():
		a.joined = true
		a.nextRenew = a.now
	case !present && a.joined:
		a.renewIdentity()
	}
}

// resumeLeave finishes what an earlier process began: its member was about to leave, and its
// target may hold keys still. After that the target joins anew.
func (a *Agent) resumeLeave() {
	a.joined, a.nextRenew = true, a.now
	a.next = a.target
	a.startLeaving(losing{})
}

// follow begins to hand over the shards that move away.
func (a *Agent) follow(c table.Change) {
	h, ok := c.(table.OwnershipSet)
	if !ok {
		return
	}
	m, ok := h.Ownership().(table.Moving)
	if !ok || m.From() != a.self || !a.joined {
		return
	}
	key := release(h.Service(), h.Shard(), m.Epoch())
	if _, known := a.handing[key]; !known && a.moving(key) {
		a.handing[key] = waiting{}
		a.emit(AwaitQuiesced{table: a.table, service: h.Service(), shard: h.Shard(), epoch: m.Epoch(), span: a.quietSpan()})
	}
}

// rejoinTold gives up an incarnation that is not a member.
func (a *Agent) rejoinTold(e RejoinRequired) {
	if e.incarnation == a.self {
		a.renewIdentity()
		a.publish()
	}
}

// renewIdentity gives up all that this incarnation held and joins as a new one.
func (a *Agent) renewIdentity() {
	a.joined = false
	a.holder.Relinquish()
	clear(a.handing)
	a.renewBook()
	a.self = a.incarnate()
	a.settleExit()
	a.join()
}
