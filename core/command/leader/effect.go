package leader

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// Effect is what a leader asks for: Offer, Confirm, SendLease, SendUpdate or
// SendRejoin.
type Effect interface{ effect() }

// Offer appends a command to the log.
type Offer struct{ command logcmd.Command }

// Command returns the command.
func (e Offer) Command() logcmd.Command { return e.command }

// Confirm asks for a Confirmed event with the token.
type Confirm struct{ token uint64 }

// Token returns the token.
func (e Confirm) Token() uint64 { return e.token }

// SendLease answers a renewal.
type SendLease struct {
	session   Session
	sequence  uint64
	span      clock.Millis
	rulesSpan clock.Millis
	version   uint64
}

// Session returns the session of the daemon.
func (e SendLease) Session() Session { return e.session }

// Sequence returns the number of the renewal.
func (e SendLease) Sequence() uint64 { return e.sequence }

// Span returns how long ownership lasts from the sending of the renewal.
func (e SendLease) Span() clock.Millis { return e.span }

// RulesSpan returns how long the rules may be used from the sending of the
// renewal.
func (e SendLease) RulesSpan() clock.Millis { return e.rulesSpan }

// Version returns the version that the daemon's table must have by now.
func (e SendLease) Version() uint64 { return e.version }

// SendUpdate brings the table of a daemon forward.
type SendUpdate struct {
	session Session
	update  Update
}

// Session returns the session of the daemon.
func (e SendUpdate) Session() Session { return e.session }

// Update returns the changes.
func (e SendUpdate) Update() Update { return e.update }

// SendRejoin tells a daemon that its incarnation is not a member.
type SendRejoin struct {
	session     Session
	incarnation table.Incarnation
}

// Session returns the session of the daemon.
func (e SendRejoin) Session() Session { return e.session }

// Incarnation returns the incarnation that is void.
func (e SendRejoin) Incarnation() table.Incarnation { return e.incarnation }

func (Offer) effect()      {}
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
