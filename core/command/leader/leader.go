// Package leader decides for the leader of the control group: it answers
// renewals, expires the silent, grants and moves shards, and keeps the tables of
// all daemons up to date.
//
// A Leader lives as long as its replica leads, and is for the control
// goroutine only. All that must survive it is in the log.
package leader

import (
	"maps"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/command/apply"
	"verbenabank/core/command/stats"
	"verbenabank/core/command/lease"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// planEvery is the longest time between two looks at the placement of shards.
const planEvery = 100 * clock.Millisecond

// Limits of updates to all sessions, so that a burst of changes costs each session
// a few messages only and leaves renewals their share of the processor.
const (
	pushEvery    = 10 * clock.Millisecond
	pushSessions = 10 // that are brought up to date in a millisecond, at most
)

// Leader is the volatile state of a leader.
type Leader struct {
	group    uint64
	now      clock.Millis
	fleet    *fleet.State
	book     *lease.Tracker
	sessions map[SessionID]*session
	history  *history
	rounds   rounds
	planned  map[subject]clock.Millis // when it was proposed
	joining  map[table.Incarnation]clock.Millis
	terms    lease.Params
	gauge    *stats.Collector
	nextPlan clock.Millis
	nextPush clock.Millis
	behind   bool // sessions wait for the next push
	effect   []Effect
}

// session is one daemon's session.
type session struct {
	incarnation table.Incarnation
	version     uint64
}

// subject is what a command is about, so that one is proposed at a time.
type subject struct {
	service string
	shard   table.Shard
	key     string
	first   table.Key
	last    table.Key
	member  table.Incarnation
}

// Option sets one property of a Leader.
type Option func(*Leader)

// WithLeaseParams sets the terms of leases.
func WithLeaseParams(t lease.Params) Option { return func(l *Leader) { l.terms = t } }

// New returns the leader of the control group that was established at now, when all
// earlier entries of the log had been applied to f.
func New(now clock.Millis, group uint64, f *fleet.State, opts ...Option) *Leader {
	l := &Leader{
		now:      now,
		group:    group,
		fleet:    f,
		sessions: map[SessionID]*session{},
		history:  newHistory(f.Table().Version()),
		planned:  map[subject]clock.Millis{},
		joining:  map[table.Incarnation]clock.Millis{},
		terms:    lease.DefaultParams(),
		gauge:    stats.New(now),
		nextPlan: now,
	}
	for _, o := range opts {
		o(l)
	}
	l.book = lease.NewTracker(now, f.Table().Members(), lease.WithParams(l.terms))
	l.survey()
	return l
}

// Step reacts to an event at now.
func (l *Leader) Step(now clock.Millis, e Event) []Effect {
	l.now, l.effect = now, nil
	l.react(e)
	return l.effect
}

func (l *Leader) react(e Event) {
	switch e := e.(type) {
	case Ticked:
		l.push()
		l.expire()
		l.plan()
		l.ask()
	case Applied:
		l.applied(e)
	case Opened:
		l.sessions[e.session] = &session{}
	case Closed:
		delete(l.sessions, e.session)
	case JoinAsked:
		l.joinAsked(e)
	case RenewAsked:
		l.renewAsked(e)
	case LeaveAsked:
		l.leaveAsked(e)
	case GoneTold:
		l.gone(e.incarnation, logcmd.Left)
	case Confirmed:
		l.confirmed(e)
	case Unconfirmed:
		l.unconfirmed(e)
	}
}

// NextTick returns the instant of the next Ticked event.
func (l *Leader) NextTick() clock.Millis {
	wake := l.nextPlan
	if end, ok := l.book.NextCheck(); ok {
		wake = min(wake, end)
	}
	if l.behind {
		wake = min(wake, l.nextPush)
	}
	return wake
}

// Sessions returns the count of daemons with a session.
func (l *Leader) Sessions() int { return len(l.sessions) }

func (l *Leader) emit(e Effect) { l.effect = append(l.effect, e) }

func (l *Leader) offer(c logcmd.Command) { l.emit(Propose{command: c}) }

// applied follows a command of the log: the books first, then the daemons.
func (l *Leader) applied(e Applied) {
	l.fleet = e.fleet
	delete(l.planned, subjectOf(e.command))
	if j, ok := e.command.(logcmd.Join); ok {
		delete(l.joining, j.Member().Incarnation())
	}
	for _, f := range e.effects {
		if c, ok := f.(apply.Changed); ok {
			l.follow(c.Changes())
		}
	}
}

func (l *Leader) follow(changes []table.Change) {
	for _, c := range changes {
		switch c := c.(type) {
		case table.MemberSet:
			l.followMember(c.Member())
		case table.MemberRemoved:
			l.book.Remove(c.Incarnation())
			l.gauge.MemberLeft(c.Incarnation())
		case table.OwnershipSet:
			l.gauge.HoldingChanged(load.NewShardRef(c.Service(), c.Shard()), c.Ownership(), l.now)
		case table.SpanSet:
			l.gauge.SpanMoved(c.Service(), l.now)
		case table.OverrideSet:
			l.gauge.KeyPlaced(c.Key(), l.base(c.Service(), c.Key()), load.NewShardRef(c.Service(), c.Shard()))
		case table.OverrideRemoved:
			l.gauge.KeyReturned(c.Key(), l.base(c.Service(), c.Key()))
		case table.RulesSet:
		}
	}
	l.history.add(l.fleet.Table().Version(), changes)
	l.behind = true
	l.push()
	l.nextPlan = l.now
}

// push brings all sessions up to date, unless it did so just now.
func (l *Leader) push() {
	if !l.behind || l.now < l.nextPush {
		return
	}
	l.behind, l.nextPush = false, l.now.Add(max(pushEvery, clock.Millis(len(l.sessions)/pushSessions)))
	for _, id := range slices.Sorted(maps.Keys(l.sessions)) {
		if s := l.sessions[id]; s.incarnation != 0 {
			l.update(id, s)
		}
	}
}

func (l *Leader) followMember(m table.Member) {
	i := m.Incarnation()
	if !l.gauge.Knows(i) {
		l.gauge.MemberJoined(m, l.now)
		l.book.RecordRenewal(i, l.now)
	}
}
