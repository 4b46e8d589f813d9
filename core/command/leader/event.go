package leader

import (
	"verbenabank/core/command/apply"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// SessionID identifies a session of a daemon. IDs are not reused.
type SessionID uint64

// Event is an input of a leader: Ticked, Applied, SessionOpened, SessionClosed, JoinRequested,
// RenewRequested, LeaveRequested, GoneReported, Confirmed or Unconfirmed.
type Event interface{ event() }

// Ticked says that the instant returned by NextTick has come.
type Ticked struct{}

// Applied says that a committed command was applied.
type Applied struct {
	fleet   *fleet.State
	command logcmd.Command
	effects []apply.Effect
}

// NewApplied returns the event for a command with its effects. The fleet is the state after it.
func NewApplied(f *fleet.State, c logcmd.Command, effects []apply.Effect) Applied {
	return Applied{fleet: f, command: c, effects: effects}
}

// SessionOpened says that a daemon opened a session.
type SessionOpened struct{ session SessionID }

// NewSessionOpened returns the event for a new session, which is not bound to a member until it joins
// or renews.
func NewSessionOpened(s SessionID) SessionOpened { return SessionOpened{session: s} }

// SessionClosed says that a session ended.
type SessionClosed struct{ session SessionID }

// NewSessionClosed returns the event for a session that ended; its member keeps its lease.
func NewSessionClosed(s SessionID) SessionClosed { return SessionClosed{session: s} }

// JoinRequested says that a daemon asks to become a member.
type JoinRequested struct {
	session SessionID
	member  table.Member
	group   uint64
}

// NewJoinRequested returns the event for a member that expects the control group with the given ID, 0
// if it knows none. A request meant for another group is ignored.
func NewJoinRequested(s SessionID, m table.Member, group uint64) JoinRequested {
	return JoinRequested{session: s, member: m, group: group}
}

// RenewRequested says that a member asks to renew its lease.
type RenewRequested struct {
	session     SessionID
	incarnation table.Incarnation
	sequence    uint64
	version     uint64
	releases    []logcmd.Release
	report      load.Report
	spans       []logcmd.ReleaseSpan
}

// NewRenewRequested returns the event for a renewal. The version is that of the member's table, and
// the releases are the shards that it has handed over.
func NewRenewRequested(s SessionID, i table.Incarnation, sequence, version uint64, releases []logcmd.Release, r load.Report) RenewRequested {
	return RenewRequested{session: s, incarnation: i, sequence: sequence, version: version, releases: releases, report: r}
}

// WithSpans returns the renewal with the key ranges that the member's target no longer holds.
func (e RenewRequested) WithSpans(released []logcmd.ReleaseSpan) RenewRequested {
	e.spans = released
	return e
}

// LeaveRequested says that a member asks to hand over all that it owns, for a graceful shutdown of its
// daemon or of its target.
type LeaveRequested struct {
	incarnation table.Incarnation
	targetLeft  bool
}

// NewLeaveRequested returns the event for a member; it is ignored for one that is leaving already.
func NewLeaveRequested(i table.Incarnation) LeaveRequested { return LeaveRequested{incarnation: i} }

// WithTargetLeft sets whether the member's target has said that it stops.
func (e LeaveRequested) WithTargetLeft(left bool) LeaveRequested {
	e.targetLeft = left
	return e
}

// GoneReported says that a member owns nothing any more and won't own anything again, so that it
// can be removed before its lease expires.
type GoneReported struct{ incarnation table.Incarnation }

// NewGoneReported returns the event for a member; it is ignored if the member may not renew.
func NewGoneReported(i table.Incarnation) GoneReported { return GoneReported{incarnation: i} }

// Confirmed says that a quorum acknowledged this leader in a heartbeat round that began after the
// Confirm effect with the same token.
type Confirmed struct{ token uint64 }

// NewConfirmed returns the event for the token of a Confirm effect.
func NewConfirmed(token uint64) Confirmed { return Confirmed{token: token} }

// Unconfirmed says that the round of a token will not be confirmed.
type Unconfirmed struct{ token uint64 }

// NewUnconfirmed returns the event for the token of a Confirm effect.
func NewUnconfirmed(token uint64) Unconfirmed { return Unconfirmed{token: token} }

func (Ticked) event()         {}
func (Applied) event()        {}
func (SessionOpened) event()  {}
func (SessionClosed) event()  {}
func (JoinRequested) event()  {}
func (RenewRequested) event() {}
func (LeaveRequested) event() {}
func (GoneReported) event()   {}
func (Confirmed) event()      {}
func (Unconfirmed) event()    {}
