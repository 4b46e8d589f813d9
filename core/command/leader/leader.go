// Package leader holds the decisions of the control group's leader: it answers lease renewals,
// removes members whose lease expired, grants and moves shards, and keeps the routing tables of
// all daemons up to date.
//
// A Leader exists only while its replica leads, and is for the control goroutine only. All
// state that must survive a change of leader is in the replicated log.
package leader

import (
	"maps"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/command/apply"
	"verbenabank/core/command/lease"
	"verbenabank/core/command/stats"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// planInterval is the longest time between two runs of the placement plan, minPlanInterval the
// shortest.
const (
	planInterval    = 100 * clock.Millisecond
	minPlanInterval = 20 * clock.Millisecond
)

// Rate limits of updates to all sessions, so that a burst of changes costs each session only a
// few messages and leaves processor time for renewals. Members whose ownership changes get the
// update at once.
const (
	pushInterval      = 10 * clock.Millisecond
	pushSessionsPerMs = 4 // the interval grows with the sessions, so that at most these are updated per millisecond
)

// roundsPerRenewal is the number of confirmation rounds in a renewal interval. Each round costs a
// message to every replica and back, so renewals share rounds instead of having one each.
const roundsPerRenewal = 20

// Leader is the volatile state of the leader: leases, sessions, proposals under way and load.
type Leader struct {
	group          uint64
	now            clock.Millis
	fleet          *fleet.State
	leases         *lease.Tracker
	sessions       map[SessionID]*session
	history        *history
	rounds         confirmRounds
	proposedAt     map[proposalKey]clock.Millis // when a command was last proposed
	joinProposedAt map[table.Incarnation]clock.Millis
	params         lease.Params
	capacityWindow clock.Millis
	collector      *stats.Collector
	nextPlan       clock.Millis
	lastPlan       clock.Millis
	nextPush       clock.Millis
	nextRound      clock.Millis
	pushPending    bool // some sessions may lack changes until the next push
	effects        []Effect
}

// session is the state of one daemon's session.
type session struct {
	incarnation table.Incarnation
	version     uint64
}

// proposalKey identifies the object of a command. At most one command per key is proposed at a
// time.
type proposalKey struct {
	service string
	shard   table.Shard
	key     string
	first   table.Key
	last    table.Key
	member  table.Incarnation
}

// Option sets one property of a Leader.
type Option func(*Leader)

// WithLeaseParams sets the lease parameters.
func WithLeaseParams(p lease.Params) Option { return func(l *Leader) { l.params = p } }

// WithCapacityWindow averages the service times of targets of ordered services over the requests of a window, in
// milliseconds, before keys are placed by them. By default they are taken as reported.
func WithCapacityWindow(window clock.Millis) Option {
	return func(l *Leader) { l.capacityWindow = window }
}

// New returns the leader of the control group with the given ID, elected at now. All entries of
// earlier terms must have been applied to f.
func New(now clock.Millis, group uint64, f *fleet.State, opts ...Option) *Leader {
	l := &Leader{
		now:            now,
		group:          group,
		fleet:          f,
		sessions:       map[SessionID]*session{},
		history:        newHistory(f.Table().Version()),
		proposedAt:     map[proposalKey]clock.Millis{},
		joinProposedAt: map[table.Incarnation]clock.Millis{},
		params:         lease.DefaultParams(),
		nextPlan:       now,
	}
	for _, o := range opts {
		o(l)
	}
	l.collector = stats.New(now, stats.WithCapacityWindow(l.capacityWindow))
	l.leases = lease.NewTracker(now, f.Table().Members(), lease.WithParams(l.params))
	l.seedCollector()
	return l
}

// Step handles an event at now and returns the actions to carry out, in order.
func (l *Leader) Step(now clock.Millis, e Event) []Effect {
	l.now, l.effects = now, nil
	l.dispatch(e)
	return l.effects
}

func (l *Leader) dispatch(e Event) {
	switch e := e.(type) {
	case Ticked:
		l.pushUpdates()
		l.expireLapsed()
		l.plan()
		l.startRound()
	case Applied:
		l.onApplied(e)
	case SessionOpened:
		l.sessions[e.session] = &session{}
	case SessionClosed:
		delete(l.sessions, e.session)
	case JoinRequested:
		l.onJoin(e)
	case RenewRequested:
		l.onRenew(e)
	case LeaveRequested:
		l.onLeave(e)
	case GoneReported:
		l.expireMember(e.incarnation, logcmd.Left)
	case Confirmed:
		l.onConfirmed(e)
	case Unconfirmed:
		l.onUnconfirmed(e)
	}
}

// NextTick returns when the next Ticked event is due.
func (l *Leader) NextTick() clock.Millis {
	next := l.nextPlan
	if end, ok := l.leases.NextCheck(); ok {
		next = min(next, end)
	}
	if l.pushPending {
		next = min(next, l.nextPush)
	}
	if l.rounds.ready() {
		next = min(next, l.nextRound)
	}
	return next
}

// Sessions returns the number of open sessions.
func (l *Leader) Sessions() int { return len(l.sessions) }

func (l *Leader) emit(e Effect) { l.effects = append(l.effects, e) }

func (l *Leader) submit(c logcmd.Command) { l.emit(Propose{command: c}) }

// onApplied takes over an applied command: first leases and load, then the updates to daemons.
func (l *Leader) onApplied(e Applied) {
	l.fleet = e.fleet
	delete(l.proposedAt, proposalKeyOf(e.command))
	if j, ok := e.command.(logcmd.Join); ok {
		delete(l.joinProposedAt, j.Member().Incarnation())
	}
	for _, f := range e.effects {
		if c, ok := f.(apply.Changed); ok {
			l.trackChanges(c.Changes())
		}
	}
}

func (l *Leader) trackChanges(changes []table.Change) {
	for _, c := range changes {
		switch c := c.(type) {
		case table.MemberSet:
			l.trackMember(c.Member())
		case table.MemberRemoved:
			l.leases.Remove(c.Incarnation())
			l.collector.MemberLeft(c.Incarnation())
		case table.TargetLeft:
		case table.OwnershipSet:
			l.collector.OwnershipChanged(load.NewShardRef(c.Service(), c.Shard()), c.Ownership(), l.now)
		case table.SpanSet:
			l.collector.SpanMoved(c.Service(), l.now)
		case table.OverrideSet:
			l.collector.KeyPlaced(c.Key(), l.baseRange(c.Service(), c.Key()), load.NewShardRef(c.Service(), c.Shard()))
		case table.OverrideRemoved:
			l.collector.KeyReturned(c.Key(), l.baseRange(c.Service(), c.Key()))
		case table.RulesSet:
		case table.ZoneDrainSet:
			l.trackZoneDrain(c)
		}
	}
	l.history.add(l.fleet.Table().Version(), changes)
	l.pushPending = true
	l.pushUpdates()
	l.pushToInvolved(changes)
	l.nextPlan = max(l.now, l.lastPlan.Add(minPlanInterval))
}

// pushUpdates sends all sessions the changes that they lack, unless the last push was too recent.
func (l *Leader) pushUpdates() {
	if !l.pushPending || l.now < l.nextPush {
		return
	}
	l.pushPending, l.nextPush = false, l.now.Add(max(pushInterval, clock.Millis(len(l.sessions)/pushSessionsPerMs)))
	for _, id := range slices.Sorted(maps.Keys(l.sessions)) {
		if s := l.sessions[id]; s.incarnation != 0 {
			l.sendUpdate(id, s)
		}
	}
}

// pushToInvolved sends the changes to the sessions of the members that they concern: they wait for them to
// begin or to end a move.
func (l *Leader) pushToInvolved(changes []table.Change) {
	involved := map[table.Incarnation]bool{}
	for _, c := range changes {
		switch c := c.(type) {
		case table.MemberSet:
			involved[c.Member().Incarnation()] = true
		case table.OwnershipSet:
			addOwners(involved, c.Ownership())
		case table.SpanSet:
			addOwners(involved, c.Span().Ownership())
		case table.ZoneDrainSet:
			for _, m := range l.fleet.Table().MembersIn(c.Zone()) {
				involved[m.Incarnation()] = true
			}
		case table.MemberRemoved, table.TargetLeft, table.OverrideSet, table.OverrideRemoved, table.RulesSet:
		}
	}
	if len(involved) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(l.sessions)) {
		if s := l.sessions[id]; involved[s.incarnation] {
			l.sendUpdate(id, s)
		}
	}
}

// trackZoneDrain lets the members of a zone that is taken back warm up from now on.
func (l *Leader) trackZoneDrain(c table.ZoneDrainSet) {
	if c.Drained() {
		return
	}
	for _, m := range l.fleet.Table().MembersIn(c.Zone()) {
		l.collector.MemberReturned(m.Incarnation(), l.now)
	}
}

// addOwners adds the members that own keys, or to which they move.
func addOwners(set map[table.Incarnation]bool, o table.Ownership) {
	switch o := o.(type) {
	case table.Vacant:
	case table.Owned:
		set[o.Owner()] = true
	case table.Moving:
		set[o.From()], set[o.To()] = true, true
	}
}

func (l *Leader) trackMember(m table.Member) {
	i := m.Incarnation()
	if !l.collector.Knows(i) {
		l.collector.MemberJoined(m, l.now)
		l.leases.RecordRenewal(i, l.now)
	}
}
