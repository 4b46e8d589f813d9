package leader

import (
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// pendingRenewal is a renewal that waits for a quorum to confirm this leader.
type pendingRenewal struct {
	session     SessionID
	incarnation table.Incarnation
	sequence    uint64
}

// confirmRounds batches renewals: one round is in flight while the next one is filled.
type confirmRounds struct {
	token    uint64
	inFlight []pendingRenewal
	queued   []pendingRenewal
}

// onJoin proposes a new member. The join removes earlier incarnations of its instance, so it waits while one of them
// owns anything. A daemon repeats the request until it sees itself in the table; changes that were sent on its
// session are not sent again.
func (l *Leader) onJoin(e JoinRequested) {
	s, ok := l.sessions[e.session]
	if !ok || (e.group != 0 && e.group != l.group) {
		return
	}
	i := e.member.Incarnation()
	repeated := s.incarnation == i
	s.incarnation = i
	if l.fleet.Table().HasLeft(e.member.Instance(), e.member.TargetStartTime()) {
		l.sendUpdate(e.session, s)
		return
	}
	if _, ok := l.fleet.Table().Member(i); ok {
		if !repeated {
			s.version = 0
		}
		l.sendUpdate(e.session, s)
		return
	}
	predecessors := l.owningPredecessors(e.member)
	for _, m := range predecessors {
		l.retire(m)
	}
	if len(predecessors) == 0 && !l.pending(l.joinProposedAt[i]) {
		l.joinProposedAt[i] = l.now
		l.submit(logcmd.NewJoin(e.member))
	}
	l.sendUpdate(e.session, s)
}

// owningPredecessors returns the earlier incarnations of the instance of m that own anything and whose lease may be
// renewed. That another target process has started says nothing about the keys that they were granted: these are free
// once they were released, or the lease has expired.
func (l *Leader) owningPredecessors(m table.Member) []table.Member {
	t := l.fleet.Table()
	var list []table.Member
	for _, o := range t.Members() {
		if o.Precedes(m) && l.leases.MayRenew(o.Incarnation()) && t.OwnsAny(o.Service(), o.Incarnation()) {
			list = append(list, o)
		}
	}
	return list
}

// retire proposes that a member gets nothing more.
func (l *Leader) retire(m table.Member) {
	if _, leaving := m.Phase().(table.Leaving); !leaving {
		l.proposeOnce(logcmd.NewSetPhase(m.Incarnation(), table.Leaving{}))
	}
}

// onRenew counts the lease from the arrival of the renewal and answers it once a quorum has
// confirmed this leader, so that a deposed leader grants no leases.
func (l *Leader) onRenew(e RenewRequested) {
	s, ok := l.sessions[e.session]
	if !ok {
		return
	}
	if _, ok := l.fleet.Table().Member(e.incarnation); !ok {
		if !l.pending(l.joinProposedAt[e.incarnation]) {
			l.emit(SendRejoin{session: e.session, incarnation: e.incarnation})
		}
		return
	}
	if s.incarnation == 0 {
		s.version = e.version
	}
	s.incarnation = e.incarnation
	l.sendUpdate(e.session, s)
	l.proposeReleases(e)
	l.collector.RecordReport(e.incarnation, e.report, l.now)
	l.reportKeyLoad(e)
	if !l.leases.MayRenew(e.incarnation) {
		return
	}
	l.leases.RecordRenewal(e.incarnation, l.now)
	l.rounds.queued = append(l.rounds.queued, pendingRenewal{session: e.session, incarnation: e.incarnation, sequence: e.sequence})
	l.startRound()
}

// proposeReleases proposes the release of shards that a member has handed over. A release is
// proposed again only after the last proposal was applied or timed out.
func (l *Leader) proposeReleases(e RenewRequested) {
	for _, r := range e.releases {
		m, ok := l.fleet.Table().Ownership(r.Service(), r.Shard()).(table.Moving)
		if ok && m.From() == e.incarnation && m.Epoch() == r.Epoch() {
			l.proposeOnce(r)
		}
	}
	l.proposeSpanReleases(e)
}

// ready reports whether renewals are queued and no round is in flight.
func (r *confirmRounds) ready() bool { return len(r.inFlight) == 0 && len(r.queued) > 0 }

// startRound starts a confirmation round if one is ready and the last one began long enough ago.
func (l *Leader) startRound() {
	if !l.rounds.ready() || l.now < l.nextRound {
		return
	}
	l.nextRound = l.now.Add(l.params.RenewInterval() / roundsPerRenewal)
	l.rounds.token++
	l.rounds.inFlight, l.rounds.queued = l.rounds.queued, nil
	l.emit(Confirm{token: l.rounds.token})
}

// onConfirmed answers the renewals of a round. A member whose removal was proposed in the
// meantime gets no answer.
func (l *Leader) onConfirmed(e Confirmed) {
	if e.token != l.rounds.token {
		return
	}
	for _, r := range l.rounds.inFlight {
		s, ok := l.sessions[r.session]
		if !ok || !l.leases.MayRenew(r.incarnation) {
			continue
		}
		l.emit(SendLease{session: r.session, sequence: r.sequence, ttl: l.params.TTL(), rulesTTL: l.params.RulesTTL(), version: s.version})
	}
	l.rounds.inFlight = nil
	l.startRound()
}

// onUnconfirmed queues the renewals of a failed round for the next one, which starts with the next
// tick.
func (l *Leader) onUnconfirmed(e Unconfirmed) {
	if e.token == l.rounds.token {
		l.rounds.queued = append(l.rounds.inFlight, l.rounds.queued...)
		l.rounds.inFlight = nil
	}
}

// onLeave proposes that a member leaves, and that its target has left if it says so.
func (l *Leader) onLeave(e LeaveRequested) {
	m, ok := l.fleet.Table().Member(e.incarnation)
	if !ok {
		return
	}
	_, news := l.fleet.Table().TargetLeaves(m)
	left := e.targetLeft && news
	if _, leaving := m.Phase().(table.Leaving); !leaving || left {
		l.proposeOnce(logcmd.NewSetPhase(e.incarnation, table.Leaving{}).WithTargetLeft(left))
	}
}

// expireLapsed proposes to remove the members whose lease has certainly expired, and repeats
// proposals that were not applied in time.
func (l *Leader) expireLapsed() {
	for _, i := range l.leases.Lapsed(l.now) {
		l.expireMember(i, logcmd.LeaseExpired)
	}
	for _, i := range l.leases.StalledRemovals(proposalTimeout, l.now) {
		l.submit(logcmd.NewExpire(i, logcmd.LeaseExpired))
	}
}

// expireMember proposes to remove a member and denies its further renewals.
func (l *Leader) expireMember(i table.Incarnation, cause logcmd.Cause) {
	if !l.leases.MayRenew(i) {
		return
	}
	l.leases.DenyRenewal(i, l.now)
	l.submit(logcmd.NewExpire(i, cause))
}

// reportKeyLoad records the load of the keys that a member of an ordered service owns.
func (l *Leader) reportKeyLoad(e RenewRequested) {
	m, _ := l.fleet.Table().Member(e.incarnation)
	if e.report.TargetStats().Slots() == 0 {
		return
	}
	var spans []table.Span
	for _, s := range l.fleet.Table().Spans(m.Service()) {
		if o, ok := s.Ownership().(table.Owned); ok && o.Owner() == e.incarnation {
			spans = append(spans, s)
		}
	}
	l.collector.RecordCells(e.incarnation, m.Service(), spans, e.report, l.now)
}

// proposeSpanReleases proposes the release of key ranges that the member's target no longer holds.
func (l *Leader) proposeSpanReleases(e RenewRequested) {
	for _, r := range e.spans {
		p, ok := l.fleet.Table().SpanAt(r.Service(), r.First())
		if ok && p.Covers(r.First(), r.Last()) && p.Ownership().Epoch() == r.Epoch() && table.ServingMember(p.Ownership()) == e.incarnation {
			l.proposeOnce(r)
		}
	}
}
