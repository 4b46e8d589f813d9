// Package logcmd holds the commands of the replicated log.
package logcmd

import (
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// Timestamp is a wall-clock time in milliseconds since the Unix epoch. It is for the
// audit trail only; no decision depends on it.
type Timestamp int64

// Command is a command for the replicated state machine: Join, Expire, SetPhase, Grant, Move,
// Release, GrantSpan, MoveSpan, ReleaseSpan, SetRules, AddOverride, RemoveOverride or SetZoneDrain.
type Command interface{ command() }

// Join makes a daemon a member.
type Join struct{ member table.Member }

// NewJoin returns the command that makes m a member.
func NewJoin(m table.Member) Join { return Join{member: m} }

// Member returns the member.
func (c Join) Member() table.Member { return c.member }

// Expire removes a member whose lease has expired for certain, or that no longer owns
// anything.
type Expire struct {
	incarnation table.Incarnation
	cause       Cause
}

// Cause is the reason for the removal of a member. It appears in the audit trail.
type Cause string

// Causes of an expiry.
const (
	LeaseExpired Cause = "lease ran out"
	Left         Cause = "left"
	TargetLost   Cause = "target lost"
	// TargetRestarted is for members whose target was restarted: the new process has joined.
	TargetRestarted Cause = "target started again"
)

// NewExpire returns the command that removes i.
func NewExpire(i table.Incarnation, cause Cause) Expire { return Expire{incarnation: i, cause: cause} }

// Incarnation returns the member to remove.
func (c Expire) Incarnation() table.Incarnation { return c.incarnation }

// Cause returns why the member is removed.
func (c Expire) Cause() Cause { return c.cause }

// SetPhase sets the phase in the life cycle of a member.
type SetPhase struct {
	incarnation table.Incarnation
	phase       table.Phase
	targetLeft  bool
}

// NewSetPhase returns the command that sets the phase of member i.
func NewSetPhase(i table.Incarnation, phase table.Phase) SetPhase {
	return SetPhase{incarnation: i, phase: phase}
}

// WithTargetLeft returns the command that also records, if left is set, that the member's target has said that
// it stops.
func (c SetPhase) WithTargetLeft(left bool) SetPhase {
	c.targetLeft = left
	return c
}

// TargetLeft reports whether the member's target has said that it stops.
func (c SetPhase) TargetLeft() bool { return c.targetLeft }

// Incarnation returns the member.
func (c SetPhase) Incarnation() table.Incarnation { return c.incarnation }

// Phase returns the new phase.
func (c SetPhase) Phase() table.Phase { return c.phase }

// SetRules proposes a configuration, which takes effect if it is valid and newer than the one in
// force.
type SetRules struct {
	rules       rules.Rules
	instance    string
	folder      string
	baseVersion uint64
	hasBase     bool
}

// NewSetRules returns the command that proposes rules from a folder of an instance.
func NewSetRules(r rules.Rules, instance, folder string) SetRules {
	return SetRules{rules: r, instance: instance, folder: folder}
}

// Rules returns the proposed rules.
func (c SetRules) Rules() rules.Rules { return c.rules }

// Instance returns the instance that proposes the rules.
func (c SetRules) Instance() string { return c.instance }

// Folder returns the folder of the configuration files on the instance.
func (c SetRules) Folder() string { return c.folder }

// WithBaseVersion returns a conditional command, accepted only if the rules of that version are in
// force, or if none are for version 0.
func (c SetRules) WithBaseVersion(version uint64) SetRules {
	c.baseVersion, c.hasBase = version, true
	return c
}

// BaseVersion returns the version that must be in force, and whether the command is conditional.
func (c SetRules) BaseVersion() (uint64, bool) { return c.baseVersion, c.hasBase }

func (Join) command()     {}
func (Expire) command()   {}
func (SetPhase) command() {}
func (SetRules) command() {}
