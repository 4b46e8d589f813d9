// Package apply applies committed commands to the fleet state. It is deterministic: every
// replica derives the same state from the same log.
package apply

import (
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// Effect is a result of a command besides the next state: Changed, Decided or Rejected.
type Effect interface{ effect() }

// Changed says that the command changed the routing table.
type Changed struct{ changes []table.Change }

// Changes returns the changes from the previous table to the new one, in order.
func (e Changed) Changes() []table.Change { return e.changes }

// Decided is the verdict on a proposal of an operator: a configuration, or the drain of a zone.
type Decided struct{ verdict fleet.Verdict }

// Verdict says whether what was proposed is in force now, and if not, why.
func (e Decided) Verdict() fleet.Verdict { return e.verdict }

// Rejected says that the command changed nothing, since the state that it was meant for has
// changed in the meantime.
type Rejected struct{ err *Error }

// Err returns the operation and the reason, never nil.
func (e Rejected) Err() *Error { return e.err }

func (Changed) effect()  {}
func (Decided) effect()  {}
func (Rejected) effect() {}

// transition collects the results of one command.
type transition struct {
	fleet     *fleet.State
	index     uint64
	timestamp logcmd.Timestamp
	changes   []table.Change
	records   []fleet.Record
	options   []fleet.Option
	effects   []Effect
	rejected  *Error
}

// Apply returns the state after the command at a log index, and its effects. The given state is
// not modified. The index is also the version of a changed table.
func Apply(f *fleet.State, index uint64, timestamp logcmd.Timestamp, c logcmd.Command) (*fleet.State, []Effect) {
	t := &transition{fleet: f, index: index, timestamp: timestamp}
	t.dispatch(c)
	if t.rejected != nil {
		return f.With(fleet.WithIndex(index)), []Effect{Rejected{err: t.rejected}}
	}
	options := append(t.options, fleet.WithIndex(index), fleet.WithRecords(t.records...))
	if len(t.changes) > 0 {
		options = append(options, fleet.WithTable(f.Table().With(index, t.changes...)))
		t.effects = append([]Effect{Changed{changes: t.changes}}, t.effects...)
	}
	return f.With(options...), t.effects
}

func (t *transition) dispatch(c logcmd.Command) {
	switch c := c.(type) {
	case logcmd.Join:
		t.join(c)
	case logcmd.Expire:
		t.expire(c)
	case logcmd.SetPhase:
		t.setPhase(c)
	case logcmd.Grant:
		t.grant(c)
	case logcmd.Move:
		t.move(c)
	case logcmd.Release:
		t.release(c)
	case logcmd.SetRules:
		t.setRules(c)
	case logcmd.GrantSpan:
		t.grantSpan(c)
	case logcmd.MoveSpan:
		t.moveSpan(c)
	case logcmd.ReleaseSpan:
		t.releaseSpan(c)
	case logcmd.AddOverride:
		t.addOverride(c)
	case logcmd.RemoveOverride:
		t.removeOverride(c)
	case logcmd.SetZoneDrain:
		t.setZoneDrain(c)
	}
}

func (t *transition) table() *table.Table { return t.fleet.Table() }

func (t *transition) change(c table.Change) { t.changes = append(t.changes, c) }

func (t *transition) setOwnership(service string, sh table.Shard, h table.Ownership) {
	t.change(table.NewOwnershipSet(service, sh, h))
}

func (t *transition) record(author, subject, from, to, outcome string) {
	t.records = append(t.records, fleet.NewRecord(t.index, t.timestamp, author, subject, from, to, outcome))
}

func (t *transition) reject(op string, k Kind) { t.rejected = &Error{op: op, kind: k} }
