// Package metric computes the measures of a run (imbalance, churn and
// unavailability) and the violations of its invariants from the calls of the load
// generator and the ledgers of the targets. docs/MEASURES.md defines them.
package metric

import (
	"cmp"
	"slices"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
	"verbenabank/vload/state/call"
	"verbenabank/vload/state/ledger"
)

// window is the interval over which the busy times of servers are compared.
const window = 1 * clock.Second

// Answered reports whether the caller got the complete response to its own request,
// with a status below 400.
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

// byKey groups the executions that may have taken effect by key, sorted by begin.
func byKey(executions []ledger.Execution) map[key][]ledger.Execution {
	groups := make(map[key][]ledger.Execution)
	for _, x := range executions {
		if x.MayHaveCommitted() {
			k := key{service: x.Service(), name: x.Request().Key()}
			groups[k] = append(groups[k], x)
		}
	}
	for _, g := range groups {
		sortByBegin(g)
	}
	return groups
}

func sortByBegin(executions []ledger.Execution) {
	slices.SortStableFunc(executions, func(a, b ledger.Execution) int { return cmp.Compare(a.Begin(), b.Begin()) })
}
