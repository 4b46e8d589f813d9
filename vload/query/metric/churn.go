package metric

import "verbenabank/vload/state/ledger"

// Churn says how often keys changed their server.
type Churn struct {
	changes    int
	executions int
	keys       int
}

// NewChurn returns the churn of the executions.
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

// Changes returns how many executions of a key ran on another server than the
// one before.
func (c Churn) Changes() int { return c.changes }

// PerThousand returns the changes for 1000 executions.
func (c Churn) PerThousand() float64 { return ratio(1000*c.changes, c.executions) }

// PerKey returns the changes for each key that ran.
func (c Churn) PerKey() float64 { return ratio(c.changes, c.keys) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
