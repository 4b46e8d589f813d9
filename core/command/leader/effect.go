package leader

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// Effect is what a leader asks for: Offer, Confirm, SendLease, SendUpdate or
// SendRejoin.
type Effect interface{ effect() }

// Propose appends a command to the log.
type Propose struct{ command logcmd.Command }

// Command returns the command.
func (e Propose) Command() logcmd.Command { return e.command }

// Confirm asks for a Confirmed event with the token.
type Confirm struct{ token uint64 }

// Token returns the token.
func (e Confirm) Token() uint64 { return e.token }

// SendLease answers a renewal.
type SendLease struct {
	session   SessionID
	sequence  uint64
	span      clock.Millis
	rulesSpan clock.Millis
	version   uint64
}

// Session returns the session of the daemon.
func (e SendLease) Session() SessionID { return e.session }

// Sequence returns the number of the renewal.
func (e SendLease) Sequence() uint64 { return e.sequence }

// TTL returns how long ownership lasts from the sending of the renewal.
func (e SendLease) TTL() clock.Millis { return e.span }

// RulesTTL returns how long the rules may be used from the sending of the
// renewal.
func (e SendLease) RulesTTL() clock.Millis { return e.rulesSpan }

// Version returns the version that the daemon's table must have by now.
func (e SendLease) Version() uint64 { return e.version }

// SendUpdate brings the table of a daemon forward.
type SendUpdate struct {
	session SessionID
	update  Update
}

// Session returns the session of the daemon.
func (e SendUpdate) Session() SessionID { return e.session }

// Update returns the changes.
func (e SendUpdate) Update() Update { return e.update }

// SendRejoin tells a daemon that its incarnation is not a member.
type SendRejoin struct {
	session     SessionID
	incarnation table.Incarnation
}

// Session returns the session of the daemon.
func (e SendRejoin) Session() SessionID { return e.session }

// Incarnation returns the incarnation that is void.
func (e SendRejoin) Incarnation() table.Incarnation { return e.incarnation }

func (Propose) effect()    {}
func (Confirm) effect()    {}
func (SendLease) effect()  {}
func (SendUpdate) effect() {}
func (SendRejoin) effect() {}

// Update is the way from one version of the table to another.
type Update struct {
	full    bool
	from    uint64
	to      uint64
	changes []table.Change
}

// Full reports whether the changes start from the empty table.
func (u Update) Full() bool { return u.full }

// From returns the version before, 0 if the update is full.
func (u Update) From() uint64 { return u.from }

// To returns the version after.
func (u Update) To() uint64 { return u.to }

// Changes returns the changes in order. They must not be changed.
func (u Update) Changes() []table.Change { return u.changes }
