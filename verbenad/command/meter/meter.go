// Package meter publishes counts of requests by expvar.
package meter

import (
	"expvar"
	"strconv"
	"sync"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

// prefix begins the name of every variable of the daemon.
const prefix = "verbenad."

// Meter counts requests at one part of the daemon. It is safe for concurrent use.
type Meter struct {
	outcomes *expvar.Map
	latency  *expvar.Map
	events   *expvar.Map
	inFlight *expvar.Int
}

var (
	mu     sync.Mutex
	meters = map[string]*Meter{}
)

// Of returns the meter of the part, the same one for each call with its name, since
// variables are published once for the process.
func Of(part string) *Meter {
	mu.Lock()
	defer mu.Unlock()
	if m, ok := meters[part]; ok {
		return m
	}
	m := &Meter{
		outcomes: expvar.NewMap(prefix + part + ".outcomes"),
		latency:  expvar.NewMap(prefix + part + ".latency_ms"),
		events:   expvar.NewMap(prefix + part + ".events"),
		inFlight: expvar.NewInt(prefix + part + ".in_flight"),
	}
	meters[part] = m
	return m
}

// Begin counts a request as in flight.
func (m *Meter) Begin() { m.inFlight.Add(1) }

// End counts the outcome of a request that is in flight no more, and its span in a
// class that ends at a power of two.
func (m *Meter) End(o result.Outcome, span clock.Millis) {
	m.inFlight.Add(-1)
	m.outcomes.Add(label(o), 1)
	class := clock.Millis(1)
	for class < span {
		class *= 2
	}
	m.latency.Add("le_"+strconv.FormatInt(int64(class), 10), 1)
}

// Event counts an event, or changes a level, by n.
func (m *Meter) Event(name string, n int64) { m.events.Add(name, n) }

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
