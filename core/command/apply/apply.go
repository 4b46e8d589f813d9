// Package apply carries out committed commands on the fleet state. It is
// deterministic: every replica derives the same state from the same log.
package apply

import (
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/logcmd"
	"verbenabank/core/state/table"
)

// Effect is what a command did besides the next state: Changed, Decided or
// Rejected.
type Effect interface{ effect() }

// Changed commands changed the routing table.
type Changed struct{ changes []table.Change }

// Changes returns the steps from the last table to the present one.
func (e Changed) Changes() []table.Change { return e.changes }

// Decided offers of a configuration have a verdict.
type Decided struct{ verdict fleet.Verdict }

// Verdict returns what became of the offer.
func (e Decided) Verdict() fleet.Verdict { return e.verdict }

// Rejected commands changed nothing, since the state they were meant for is
// past.
type Rejected struct{ err *Error }

// Err returns why.
func (e Rejected) Err() *Error { return e.err }

func (Changed) effect()  {}
func (Decided) effect()  {}
func (Rejected) effect() {}

// step collects what one command does.
type step struct {
	fleet    *fleet.State
	index    uint64
	stamp    logcmd.Timestamp
	changes  []table.Change
	records  []fleet.Record
	options  []fleet.Option
	effects  []Effect
	rejected *Error
}

// Apply returns the state after the command at the log index, and its effects.
func Apply(f *fleet.State, index uint64, stamp logcmd.Timestamp, c logcmd.Command) (*fleet.State, []Effect) {
	s := &step{fleet: f, index: index, stamp: stamp}
	s.run(c)
	if s.rejected != nil {
		return f.With(fleet.WithIndex(index)), []Effect{Rejected{err: s.rejected}}
	}
	options := append(s.options, fleet.WithIndex(index), fleet.WithRecords(s.records...))
	if len(s.changes) > 0 {
		options = append(options, fleet.WithTable(f.Table().With(index, s.changes...)))
		s.effects = append([]Effect{Changed{changes: s.changes}}, s.effects...)
	}
	return f.With(options...), s.effects
}

func (s *step) run(c logcmd.Command) {
	switch c := c.(type) {
	case logcmd.Join:
		s.join(c)
	case logcmd.Expire:
		s.expire(c)
	case logcmd.SetPhase:
		s.setPhase(c)
	case logcmd.Grant:
		s.grant(c)
	case logcmd.Move:
		s.move(c)
	case logcmd.Release:
		s.release(c)
	case logcmd.SetRules:
		s.accept(c)
	case logcmd.GrantSpan:
		s.grantSpan(c)
	case logcmd.MoveSpan:
		s.moveSpan(c)
	case logcmd.ReleaseSpan:
		s.releaseSpan(c)
	case logcmd.AddOverride:
		s.place(c)
	case logcmd.RemoveOverride:
		s.unplace(c)
	}
}

func (s *step) table() *table.Table { return s.fleet.Table() }

func (s *step) change(c table.Change) { s.changes = append(s.changes, c) }

func (s *step) hold(service string, sh table.Shard, h table.Ownership) {
	s.change(table.NewOwnershipSet(service, sh, h))
}

func (s *step) record(author, subject, from, to, outcome string) {
	s.records = append(s.records, fleet.NewRecord(s.index, s.stamp, author, subject, from, to, outcome))
}

func (s *step) reject(op string, k Kind) { s.rejected = &Error{op: op, kind: k} }
