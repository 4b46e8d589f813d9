package metric

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/result"
	"verbenabank/vload/state/call"
	"verbenabank/vload/state/ledger"
)

// LateAfter is how long after its leave a target may still receive new work.
const LateAfter = 2 * clock.Second

// Promises counts what must never happen.
type Promises struct {
	duplicates int
	overlaps   int
	older      int
	lost       int
	refusedRan int
	crossed    int
	truncated  int
	late       int
}

// NewPromises returns the broken promises of a run. The keyed function reports
// whether each key of a service has one owner; repeatable whether requests of a
// method may run twice.
func NewPromises(calls []call.Call, l ledger.Ledger, keyed, repeatable func(string) bool) Promises {
	var p Promises
	p.compare(calls, l.Executions(), repeatable)
	p.late = late(l)
	var owned []ledger.Execution
	for _, x := range l.Executions() {
		if keyed(x.Service()) {
			owned = append(owned, x)
		}
	}
	for _, g := range byKey(owned) {
		p.overlaps += overlaps(g)
	}
	p.older = older(owned)
	return p
}

// compare holds what callers were told against what ran.
func (p *Promises) compare(calls []call.Call, executions []ledger.Execution, repeatable func(string) bool) {
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
			p.duplicates++
		}
		switch c.Outcome().(type) {
		case result.Answered:
			if Answered(c) && committed[id] == 0 {
				p.lost++
			}
		case result.Refused:
			if ran[id] > 0 {
				p.refusedRan++
			}
		case result.Unknown:
		}
		switch c.BodyCheck().(type) {
		case call.Crossed:
			p.crossed++
		case call.Truncated:
			p.truncated++
		case call.Intact, call.Unchecked:
		}
	}
}

// overlaps counts the executions of one key that ran while another server ran it.
func overlaps(executions []ledger.Execution) int {
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

// older counts the executions of a shard at a lower epoch than one that began
// before.
func older(executions []ledger.Execution) int {
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
		inOrder(g)
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

// late counts the executions that began too long after their target left.
func late(l ledger.Ledger) int {
	leaves := make(map[string]clock.Millis)
	for _, v := range l.Shutdowns() {
		leaves[v.Boot()] = v.At()
	}
	count := 0
	for _, x := range l.Executions() {
		if at, ok := leaves[x.Boot()]; ok && x.Begin() > at+LateAfter {
			count++
		}
	}
	return count
}

// Duplicates returns how many requests ran twice that may run once at most.
func (p Promises) Duplicates() int { return p.duplicates }

// Overlaps returns how many executions of a key began while another server ran it.
func (p Promises) Overlaps() int { return p.overlaps }

// Older returns how many executions began at a lower epoch than one before.
func (p Promises) Older() int { return p.older }

// Lost returns how many requests were answered but did not run.
func (p Promises) Lost() int { return p.lost }

// RefusedRan returns how many requests were refused as not run, but ran.
func (p Promises) RefusedRan() int { return p.refusedRan }

// Crossed returns how many callers got the answer to another request.
func (p Promises) Crossed() int { return p.crossed }

// Truncated returns how many callers got a part of an answer as the whole.
func (p Promises) Truncated() int { return p.truncated }

// Late returns how many executions began too long after their target left.
func (p Promises) Late() int { return p.late }

// Kept reports whether no promise was broken.
func (p Promises) Kept() bool { return p == Promises{} }
