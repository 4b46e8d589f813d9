package ctrl

import (
	"expvar"

	"verbenabank/core/state/table"
)

// Counters of the control goroutine since the start of the process.
var (
	invariantViolations = expvar.NewInt("verbenad.invariant_violations")
	electionsWon        = expvar.NewInt("verbenad.elections_won")
	shardMoves          = expvar.NewInt("verbenad.moves")
	rulesLapses         = expvar.NewInt("verbenad.rules_lapses")
)

// countShardMoves counts the shards that start to move with the changes.
func countShardMoves(changes []table.Change) {
	for _, c := range changes {
		if o, ok := c.(table.OwnershipSet); ok {
			if _, moving := o.Ownership().(table.Moving); moving {
				shardMoves.Add(1)
			}
		}
	}
}
