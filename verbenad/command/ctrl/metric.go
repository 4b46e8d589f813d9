package ctrl

import "expvar"

// Counters of the control goroutine.
var (
	violations = expvar.NewInt("verbenad.invariant_violations")
	elections  = expvar.NewInt("verbenad.elections_won")
)
