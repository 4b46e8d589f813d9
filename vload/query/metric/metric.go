// Package metric computes the three measures and the broken promises of a run
// from what callers and targets saw. docs/MEASURES.md defines them.
package metric

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
	"verbenabank/vload/state/call"
	"verbenabank/vload/state/ledger"
)

const window = 1 * clock.Second

// Answered reports whether a caller got the whole answer to its own request.
func Answered(c call.Call) bool {
	switch o := c.Outcome().(type) {
	case result.Answered:
		return o.Status() < 400 && c.BodyCheck() == call.BodyCheck(call.Intact{})
	case result.Refused, result.Unknown:
		return false
	}
	return false
}

// key identifies a key of a service.
type key struct {
	service string
	name    string
}

// byKey returns the executions that ran, by key and in the order of their begin.
func byKey(executions []ledger.Execution) map[key][]ledger.Execution {
	groups := make(map[key][]ledger.Execution)
	for _, x := range executions {
		if x.MayHaveCommitted() {
			k := key{service: x.Service(), name: x.Request().Key()}
			groups[k] = append(groups[k], x)
		}
	}
	for _, g := range groups {
		inOrder(g)
	}
	return groups
}

func inOrder(executions []ledger.Execution) {
	slices.SortStableFunc(executions, func(a, b ledger.Execution) int { return cmp.Compare(a.Begin(), b.Begin()) })
}
