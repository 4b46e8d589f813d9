package ctrl

import (
	"expvar"

	"verbenabank/core/state/table"
)

// Counters of the control goroutine.
var (
	violations = expvar.NewInt("verbenad.invariant_violations")
	elections  = expvar.NewInt("verbenad.elections_won")
	moves      = expvar.NewInt("verbenad.moves")
)

// countMoves counts the moves of shards that begin with the changes.
func countMoves(changes []table.Change) {
	for _, c := range changes {
		if h, ok := c.(table.OwnershipSet); ok {
			if _, moving := h.Ownership().(table.Moving); moving {
				moves.Add(1)
			}
		}
	}
}
