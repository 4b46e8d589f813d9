package entry

import (
	"expvar"
	"strconv"
	"sync"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

// meter counts what the entry does.
type meter struct {
	outcomes  *expvar.Map
	latency   *expvar.Map
	inFlight  *expvar.Int
	retries   *expvar.Int
	awaits    *expvar.Int
	exhausted *expvar.Int
	broken    *expvar.Int
}

// metrics publishes the counts once for the process.
var metrics = sync.OnceValue(func() *meter {
	return &meter{
		outcomes:  expvar.NewMap("verbenad.entry.outcomes"),
		latency:   expvar.NewMap("verbenad.entry.latency_ms"),
		inFlight:  expvar.NewInt("verbenad.entry.in_flight"),
		retries:   expvar.NewInt("verbenad.entry.retries"),
		awaits:    expvar.NewInt("verbenad.entry.awaits"),
		exhausted: expvar.NewInt("verbenad.entry.budget_exhausted"),
		broken:    expvar.NewInt("verbenad.entry.broken_answers"),
	}
})

func (m *meter) begin() { m.inFlight.Add(1) }

// end counts the outcome and the span in a class of powers of two.
func (m *meter) end(o result.Outcome, span clock.Millis) {
	m.inFlight.Add(-1)
	m.outcomes.Add(label(o), 1)
	class := clock.Millis(1)
	for class < span {
		class *= 2
	}
	m.latency.Add("le_"+strconv.FormatInt(int64(class), 10), 1)
}

func label(o result.Outcome) string {
	switch o := o.(type) {
	case result.Answered:
		return "answered"
	case result.Refused:
		return "refused." + string(o.Reason())
	case result.Unknown:
		return "unknown." + string(o.Reason())
	}
	return "none"
}
