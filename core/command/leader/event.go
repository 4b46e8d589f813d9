package leader

import (
	"verbenabank/core/command/apply"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/load"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// SessionID numbers a session of a daemon. Numbers are not used again.
type SessionID uint64

// Event is what a leader reacts to: Ticked, Applied, Opened, Closed, JoinAsked,
// RenewAsked, LeaveAsked, GoneTold, Confirmed or Unconfirmed.
type Event interface{ event() }

// Ticked says that the instant asked for by Wake has come.
type Ticked struct{}

// Applied says that a command of the log was carried out.
type Applied struct {
	fleet   *fleet.State
	command logcmd.Command
	effects []apply.Effect
}

// NewApplied returns the event for a command with its effects and the state
// after it.
func NewApplied(f *fleet.State, c logcmd.Command, effects []apply.Effect) Applied {
	return Applied{fleet: f, command: c, effects: effects}
}

// Opened says that a daemon began a session.
type Opened struct{ session SessionID }

// NewSessionOpened returns the event for the session.
func NewSessionOpened(s SessionID) Opened { return Opened{session: s} }

// Closed says that a session ended.
type Closed struct{ session SessionID }

// NewSessionClosed returns the event for the session.
func NewSessionClosed(s SessionID) Closed { return Closed{session: s} }

// JoinAsked says that a daemon wants to be a member.
type JoinAsked struct {
	session SessionID
	member  table.Member
	group   uint64
}

// NewJoinRequested returns the event for a member that knew the control group by the
// number group, 0 if it knew none.
func NewJoinRequested(s SessionID, m table.Member, group uint64) JoinAsked {
	return JoinAsked{session: s, member: m, group: group}
}

// RenewAsked says that a member wants a longer lease.
type RenewAsked struct {
	session     SessionID
	incarnation table.Incarnation
	sequence    uint64
	version     uint64
	releases    []logcmd.Release
	report      load.Report
	spans       []logcmd.ReleaseSpan
}

// NewRenewRequested returns the event for a renewal of a member whose table is at
// version.
func NewRenewRequested(s SessionID, i table.Incarnation, sequence, version uint64, releases []logcmd.Release, r load.Report) RenewAsked {
	return RenewAsked{session: s, incarnation: i, sequence: sequence, version: version, releases: releases, report: r}
}

// WithSpans returns the renewal with the keys that the member's target holds no more.
func (e RenewAsked) WithSpans(released []logcmd.ReleaseSpan) RenewAsked {
	e.spans = released
	return e
}

// LeaveAsked says that a member wants to hand over what it owns.
type LeaveAsked struct{ incarnation table.Incarnation }

// NewLeaveRequested returns the event for the member.
func NewLeaveRequested(i table.Incarnation) LeaveAsked { return LeaveAsked{incarnation: i} }

// GoneTold says that a member holds nothing any more and never will.
type GoneTold struct{ incarnation table.Incarnation }

// NewGoneReported returns the event for the member.
func NewGoneReported(i table.Incarnation) GoneTold { return GoneTold{incarnation: i} }

// Confirmed says that a quorum acknowledged this leader in a round that began
// after the token was handed out.
type Confirmed struct{ token uint64 }

// NewConfirmed returns the event for the token.
func NewConfirmed(token uint64) Confirmed { return Confirmed{token: token} }

// Unconfirmed says that the round of a token will not be confirmed.
type Unconfirmed struct{ token uint64 }

// NewUnconfirmed returns the event for the token.
func NewUnconfirmed(token uint64) Unconfirmed { return Unconfirmed{token: token} }

func (Ticked) event()      {}
func (Applied) event()     {}
func (Opened) event()      {}
func (Closed) event()      {}
func (JoinAsked) event()   {}
func (RenewAsked) event()  {}
func (LeaveAsked) event()  {}
func (GoneTold) event()    {}
func (Confirmed) event()   {}
func (Unconfirmed) event() {}
