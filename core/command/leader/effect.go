package leader

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// Effect is an action that the caller of Step must carry out: Propose, Confirm, SendLease,
// SendUpdate or SendRejoin.
type Effect interface{ effect() }

// Propose asks to append a command to the replicated log. The proposal may be dropped; if the
// command is still needed, the leader proposes it again after a timeout.
type Propose struct{ command logcmd.Command }

// Command returns the command to append to the log.
func (e Propose) Command() logcmd.Command { return e.command }

// Confirm asks whether a quorum still follows this leader. The answer is a Confirmed or
// Unconfirmed event with the same token.
type Confirm struct{ token uint64 }

// Token identifies the confirmation round.
func (e Confirm) Token() uint64 { return e.token }

// SendLease grants a lease in answer to a renewal.
type SendLease struct {
	session  SessionID
	sequence uint64
	ttl      clock.Millis
	rulesTTL clock.Millis
	version  uint64
}

// Session identifies the session to send on.
func (e SendLease) Session() SessionID { return e.session }

// Sequence returns the sequence number of the renewal that is answered.
func (e SendLease) Sequence() uint64 { return e.sequence }

// TTL returns how long ownership lasts from the sending of the renewal.
func (e SendLease) TTL() clock.Millis { return e.ttl }

// RulesTTL returns how long the routing rules may be used from the sending of the renewal.
func (e SendLease) RulesTTL() clock.Millis { return e.rulesTTL }

// Version returns the table version that was sent on this session before the lease. A daemon
// with an older table missed an update.
func (e SendLease) Version() uint64 { return e.version }

// SendUpdate sends a daemon the table changes that it lacks.
type SendUpdate struct {
	session SessionID
	update  Update
}

// Session identifies the session to send on.
func (e SendUpdate) Session() SessionID { return e.session }

// Update returns the versions and the changes between them.
func (e SendUpdate) Update() Update { return e.update }

// SendRejoin tells a daemon that its incarnation is not a member and that it must join anew.
type SendRejoin struct {
	session     SessionID
	incarnation table.Incarnation
}

// Session identifies the session to send on.
func (e SendRejoin) Session() SessionID { return e.session }

// Incarnation returns the incarnation that is not a member.
func (e SendRejoin) Incarnation() table.Incarnation { return e.incarnation }

func (Propose) effect()    {}
func (Confirm) effect()    {}
func (SendLease) effect()  {}
func (SendUpdate) effect() {}
func (SendRejoin) effect() {}

// Update holds the changes from one version of the table to another.
type Update struct {
	full    bool
	from    uint64
	to      uint64
	changes []table.Change
}

// NewUpdate returns the changes from one version to another, or from the empty table if full.
func NewUpdate(full bool, from, to uint64, changes []table.Change) Update {
	return Update{full: full, from: from, to: to, changes: changes}
}

// Full reports whether the changes start from the empty table.
func (u Update) Full() bool { return u.full }

// From returns the version before the changes, 0 if the update is full.
func (u Update) From() uint64 { return u.from }

// To returns the version after the changes.
func (u Update) To() uint64 { return u.to }

// Changes returns the changes in order. The slice is shared and must not be modified.
func (u Update) Changes() []table.Change { return u.changes }
