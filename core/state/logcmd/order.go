// Package order holds the commands of the replicated log.
package logcmd

import (
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

// Timestamp is a wall-clock instant in milliseconds since 1970 UTC. It is for the
// audit trail only; nothing is decided by it.
type Timestamp int64

// Command is one entry of the log: Join, Expire, SetPhase, Grant, Move, Release,
// Accept, Place or Unplace.
type Command interface{ command() }

// Join makes a daemon a member.
type Join struct{ member table.Member }

// NewJoin returns the command that makes m a member.
func NewJoin(m table.Member) Join { return Join{member: m} }

// Member returns the member.
func (c Join) Member() table.Member { return c.member }

// Expire removes a member whose lease surely ran out, or that holds nothing any
// more.
type Expire struct {
	incarnation table.Incarnation
	cause       Cause
}

// Cause is why a member was removed.
type Cause string

// Causes of an expiry.
const (
	LeaseExpired Cause = "lease ran out"
	Left         Cause = "left"
	TargetLost   Cause = "target lost"
	// TargetRestarted members are ended by the join of a later life of their target.
	TargetRestarted Cause = "target started again"
)

// NewExpire returns the command that removes i.
func NewExpire(i table.Incarnation, cause Cause) Expire { return Expire{incarnation: i, cause: cause} }

// Incarnation returns the member to remove.
func (c Expire) Incarnation() table.Incarnation { return c.incarnation }

// Cause returns why the member is removed.
func (c Expire) Cause() Cause { return c.cause }

// SetPhase moves a member between joining and leaving.
type SetPhase struct {
	incarnation table.Incarnation
	phase       table.Phase
}

// NewSetPhase returns the command that puts i into phase.
func NewSetPhase(i table.Incarnation, phase table.Phase) SetPhase {
	return SetPhase{incarnation: i, phase: phase}
}

// Incarnation returns the member.
func (c SetPhase) Incarnation() table.Incarnation { return c.incarnation }

// Phase returns the new phase.
func (c SetPhase) Phase() table.Phase { return c.phase }

// SetRules offers a configuration.
type SetRules struct {
	rules    rules.Rules
	instance string
	folder   string
	base     uint64
	bound    bool
}

// NewSetRules returns the offer of rules from a folder of an instance.
func NewSetRules(r rules.Rules, instance, folder string) SetRules {
	return SetRules{rules: r, instance: instance, folder: folder}
}

// Rules returns the offered rules.
func (c SetRules) Rules() rules.Rules { return c.rules }

// Instance returns the instance that offers.
func (c SetRules) Instance() string { return c.instance }

// Folder returns the folder that holds the files.
func (c SetRules) Folder() string { return c.folder }

// WithBaseVersion returns the command that is to be accepted only if the rules of that version are
// in force, 0 if none are.
func (c SetRules) WithBaseVersion(version uint64) SetRules {
	c.base, c.bound = version, true
	return c
}

// BaseVersion returns the version that must be in force, and whether one must.
func (c SetRules) BaseVersion() (uint64, bool) { return c.base, c.bound }

func (Join) command()     {}
func (Expire) command()   {}
func (SetPhase) command() {}
func (SetRules) command() {}
