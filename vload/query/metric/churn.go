package metric

import "verbenabank/vload/state/ledger"

// Churn measures how often keys moved between servers.
type Churn struct {
	changes    int
	executions int
	keys       int
}

// NewChurn computes the churn from the executions that may have taken effect.
func NewChurn(executions []ledger.Execution) Churn {
	var c Churn
	for _, g := range byKey(executions) {
		c.keys++
		c.executions += len(g)
		for n := 1; n < len(g); n++ {
			if g[n].Instance() != g[n-1].Instance() {
				c.changes++
			}
		}
	}
	return c
}

// Changes returns the number of executions that ran on another server than the
// previous execution of the same key.
func (c Churn) Changes() int { return c.changes }

// PerThousand returns the changes per 1000 executions, 0 without executions.
func (c Churn) PerThousand() float64 { return ratio(1000*c.changes, c.executions) }

// PerKey returns the changes per key that was executed, 0 without executions.
func (c Churn) PerKey() float64 { return ratio(c.changes, c.keys) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
