// Package apply carries out committed commands on the fleet state. It is
// deterministic: every replica derives the same state from the same log.
package apply

import (
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/order"
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
	fleet    *fleet.Fleet
	index    uint64
	stamp    order.Stamp
	changes  []table.Change
	records  []fleet.Record
	options  []fleet.Option
	effects  []Effect
	rejected *Error
}

// Apply returns the state after the command at the log index, and its effects.
func Apply(f *fleet.Fleet, index uint64, stamp order.Stamp, c order.Command) (*fleet.Fleet, []Effect) {
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

func (s *step) run(c order.Command) {
	switch c := c.(type) {
	case order.Join:
		s.join(c)
	case order.Expire:
		s.expire(c)
	case order.SetPhase:
		s.setPhase(c)
	case order.Grant:
		s.grant(c)
	case order.Move:
		s.move(c)
	case order.Release:
		s.release(c)
	case order.Accept:
		s.accept(c)
	case order.GrantSpan:
		s.grantSpan(c)
	case order.MoveSpan:
		s.moveSpan(c)
	case order.ReleaseSpan:
		s.releaseSpan(c)
	case order.Place:
		s.place(c)
	case order.Unplace:
		s.unplace(c)
	}
}

func (s *step) table() *table.Table { return s.fleet.Table() }

func (s *step) change(c table.Change) { s.changes = append(s.changes, c) }

func (s *step) hold(service string, sh table.Shard, h table.Holding) {
	s.change(table.NewHoldingSet(service, sh, h))
}

func (s *step) record(author, subject, from, to, outcome string) {
	s.records = append(s.records, fleet.NewRecord(s.index, s.stamp, author, subject, from, to, outcome))
}

func (s *step) reject(op string, k Kind) { s.rejected = &Error{op: op, kind: k} }
