package metric

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/result"
	"verbenabank/vload/state/call"
	"verbenabank/vload/state/ledger"
)

// ShutdownGrace is how long after announcing its shutdown a target may still begin
// new work.
const ShutdownGrace = 2 * clock.Second

// Violations counts the violations of the invariants of the system. All counts must
// be 0.
type Violations struct {
	duplicates  int
	overlaps    int
	staleEpochs int
	lost        int
	refusedRan  int
	crossed     int
	truncated   int
	lateWork    int
}

// NewViolations counts the violations in a run. keyed reports whether each key of
// the service has one owner, and repeatable whether requests with the method may run
// twice.
func NewViolations(calls []call.Call, l ledger.Ledger, keyed, repeatable func(string) bool) Violations {
	var v Violations
	v.compareOutcomes(calls, l.Executions(), repeatable)
	v.lateWork = countLateWork(l)
	var owned []ledger.Execution
	for _, x := range l.Executions() {
		if keyed(x.Service()) {
			owned = append(owned, x)
		}
	}
	for _, g := range byKey(owned) {
		v.overlaps += countOverlaps(g)
	}
	v.staleEpochs = countStaleEpochs(owned)
	return v
}

// compareOutcomes compares the outcomes that callers received with the executions on
// the targets.
func (v *Violations) compareOutcomes(calls []call.Call, executions []ledger.Execution, repeatable func(string) bool) {
	ran, committed := make(map[string]int), make(map[string]int)
	for _, x := range executions {
		if x.MayHaveCommitted() {
			ran[x.Request().ID()]++
		}
		if _, ok := x.Outcome().(ledger.Committed); ok {
			committed[x.Request().ID()]++
		}
	}
	for _, c := range calls {
		id := c.Request().ID()
		if ran[id] > 1 && !repeatable(c.Request().Method()) {
			v.duplicates++
		}
		switch c.Outcome().(type) {
		case result.Answered:
			if Answered(c) && committed[id] == 0 {
				v.lost++
			}
		case result.Refused:
			if ran[id] > 0 {
				v.refusedRan++
			}
		case result.Unknown:
		}
		switch c.BodyCheck().(type) {
		case call.Crossed:
			v.crossed++
		case call.Truncated:
			v.truncated++
		case call.Intact, call.Unchecked:
		}
	}
}

// countOverlaps counts the executions of one key that began while another server
// executed a request of the same key.
func countOverlaps(executions []ledger.Execution) int {
	count := 0
	ends := make(map[string]clock.Millis)
	for _, x := range executions {
		for instance, end := range ends {
			if instance != x.Instance() && x.Begin() < end {
				count++
			}
		}
		ends[x.Instance()] = max(ends[x.Instance()], x.End())
	}
	return count
}

// countStaleEpochs counts the executions of a shard at a lower epoch than an execution
// that began earlier. Executions that began at the same instant are not compared.
func countStaleEpochs(executions []ledger.Execution) int {
	type shard struct {
		service string
		number  uint32
	}
	groups := make(map[shard][]ledger.Execution)
	for _, x := range executions {
		if x.MayHaveCommitted() {
			s := shard{service: x.Service(), number: x.Request().Shard()}
			groups[s] = append(groups[s], x)
		}
	}
	count := 0
	for _, g := range groups {
		sortByBegin(g)
		greatest, earlier, at := uint64(0), uint64(0), clock.Millis(0)
		for _, x := range g {
			if x.Begin() > at {
				earlier, at = greatest, x.Begin()
			}
			if x.Request().Epoch() < earlier {
				count++
			}
			greatest = max(greatest, x.Request().Epoch())
		}
	}
	return count
}

// countLateWork counts the executions that began more than ShutdownGrace after their
// target announced its shutdown.
func countLateWork(l ledger.Ledger) int {
	shutdowns := make(map[string]clock.Millis)
	for _, s := range l.Shutdowns() {
		shutdowns[s.Boot()] = s.At()
	}
	count := 0
	for _, x := range l.Executions() {
		if at, ok := shutdowns[x.Boot()]; ok && x.Begin() > at+ShutdownGrace {
			count++
		}
	}
	return count
}

// Duplicates returns the number of non-repeatable requests that ran more than once.
func (v Violations) Duplicates() int { return v.duplicates }

// Overlaps returns the number of executions that began while another server executed
// a request of the same key.
func (v Violations) Overlaps() int { return v.overlaps }

// StaleEpochs returns the number of executions at a lower epoch than an earlier
// execution of the same shard.
func (v Violations) StaleEpochs() int { return v.staleEpochs }

// Lost returns the number of requests that were answered but never committed.
func (v Violations) Lost() int { return v.lost }

// RefusedRan returns the number of requests that were refused as not executed, but
// may have taken effect.
func (v Violations) RefusedRan() int { return v.refusedRan }

// Crossed returns the number of calls that got the response to another request.
func (v Violations) Crossed() int { return v.crossed }

// Truncated returns the number of calls whose truncated response was reported as
// complete.
func (v Violations) Truncated() int { return v.truncated }

// LateWork returns the number of executions that began more than ShutdownGrace after
// their target announced its shutdown.
func (v Violations) LateWork() int { return v.lateWork }

// None reports whether no invariant was violated.
func (v Violations) None() bool { return v == Violations{} }
