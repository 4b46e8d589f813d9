package leader

import (
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// renewal waits for the round that confirms this leader.
type renewal struct {
	session     SessionID
	incarnation table.Incarnation
	sequence    uint64
}

// rounds gathers renewals: one round is under way, the next one fills.
type rounds struct {
	token   uint64
	asked   []renewal
	waiting []renewal
}

// joinAsked proposes a member. A daemon asks again until it sees itself in the
// table; what its session was sent is not sent again.
func (l *Leader) joinAsked(e JoinAsked) {
	s, ok := l.sessions[e.session]
	if !ok || (e.group != 0 && e.group != l.group) {
		return
	}
	i := e.member.Incarnation()
	again := s.incarnation == i
	s.incarnation = i
	if _, ok := l.fleet.Table().Member(i); ok {
		if !again {
			s.version = 0
		}
		l.update(e.session, s)
		return
	}
	if !l.pending(l.joining[i]) {
		l.joining[i] = l.now
		l.offer(logcmd.NewJoin(e.member))
	}
	l.update(e.session, s)
}

// renewAsked counts the lease from this arrival and answers it once a quorum
// confirmed that this is still the leader.
func (l *Leader) renewAsked(e RenewAsked) {
	s, ok := l.sessions[e.session]
	if !ok {
		return
	}
	if _, ok := l.fleet.Table().Member(e.incarnation); !ok {
		if !l.pending(l.joining[e.incarnation]) {
			l.emit(SendRejoin{session: e.session, incarnation: e.incarnation})
		}
		return
	}
	if s.incarnation == 0 {
		s.version = e.version
	}
	s.incarnation = e.incarnation
	l.update(e.session, s)
	l.release(e)
	l.gauge.RecordReport(e.incarnation, e.report, l.now)
	l.count(e)
	if !l.book.MayRenew(e.incarnation) {
		return
	}
	l.book.RecordRenewal(e.incarnation, l.now)
	l.rounds.waiting = append(l.rounds.waiting, renewal{session: e.session, incarnation: e.incarnation, sequence: e.sequence})
	l.ask()
}

// release passes on the shards that a member gives back. It asks again only
// after the last time was carried out.
func (l *Leader) release(e RenewAsked) {
	for _, r := range e.releases {
		m, ok := l.fleet.Table().Ownership(r.Service(), r.Shard()).(table.Moving)
		if ok && m.From() == e.incarnation && m.Epoch() == r.Epoch() {
			l.propose(r)
		}
	}
	l.releaseSpans(e)
}

// ask starts a round if none is under way.
func (l *Leader) ask() {
	if len(l.rounds.asked) > 0 || len(l.rounds.waiting) == 0 {
		return
	}
	l.rounds.token++
	l.rounds.asked, l.rounds.waiting = l.rounds.waiting, nil
	l.emit(Confirm{token: l.rounds.token})
}

// confirmed answers the renewals of a round. A member that is to be expired by
// now gets no answer.
func (l *Leader) confirmed(e Confirmed) {
	if e.token != l.rounds.token {
		return
	}
	for _, r := range l.rounds.asked {
		s, ok := l.sessions[r.session]
		if !ok || !l.book.MayRenew(r.incarnation) {
			continue
		}
		l.emit(SendLease{session: r.session, sequence: r.sequence, span: l.terms.TTL(), rulesSpan: l.terms.RulesTTL(), version: s.version})
	}
	l.rounds.asked = nil
	l.ask()
}

// unconfirmed puts the renewals of a round into the next one, which begins at the
// next tick.
func (l *Leader) unconfirmed(e Unconfirmed) {
	if e.token == l.rounds.token {
		l.rounds.waiting = append(l.rounds.asked, l.rounds.waiting...)
		l.rounds.asked = nil
	}
}

func (l *Leader) leaveAsked(e LeaveAsked) {
	m, ok := l.fleet.Table().Member(e.incarnation)
	if _, leaving := m.Phase().(table.Leaving); ok && !leaving {
		l.propose(logcmd.NewSetPhase(e.incarnation, table.Leaving{}))
	}
}

// expire proposes to remove the members whose lease surely ran out.
func (l *Leader) expire() {
	for _, i := range l.book.Lapsed(l.now) {
		l.gone(i, logcmd.LeaseExpired)
	}
	for _, i := range l.book.StalledRemovals(proposalSpan, l.now) {
		l.offer(logcmd.NewExpire(i, logcmd.LeaseExpired))
	}
}

// gone proposes to remove a member and never renews it again.
func (l *Leader) gone(i table.Incarnation, cause logcmd.Cause) {
	if !l.book.MayRenew(i) {
		return
	}
	l.book.DenyRenewal(i, l.now)
	l.offer(logcmd.NewExpire(i, cause))
}

// count takes the load of the keys that a member of an ordered service owns.
func (l *Leader) count(e RenewAsked) {
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
	l.gauge.RecordCells(e.incarnation, m.Service(), spans, e.report, l.now)
}

// releaseSpans passes on the keys that the member's target holds no more.
func (l *Leader) releaseSpans(e RenewAsked) {
	for _, r := range e.spans {
		p, ok := l.fleet.Table().SpanAt(r.Service(), r.First())
		if ok && p.Covers(r.First(), r.Last()) && p.Ownership().Epoch() == r.Epoch() && holder(p.Ownership()) == e.incarnation {
			l.propose(r)
		}
	}
}

// holder returns who holds keys or is to hand them over, 0 if nobody.
func holder(h table.Ownership) table.Incarnation {
	switch h := h.(type) {
	case table.Vacant:
		return 0
	case table.Owned:
		return h.Owner()
	case table.Moving:
		return h.From()
	}
	return 0
}
