// Package meter publishes counts of requests by expvar.
package meter

import (
	"expvar"
	"fmt"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"

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
	part     string
	series   sync.Map // of counters and histograms by name
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
		part:     part,
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
	kind, reason := names(o)
	m.counter(fmt.Sprintf("verbenad_requests_total{part=%q,outcome=%q,reason=%q}", m.part, kind, reason)).Inc()
	m.Wait("whole", span)
	class := clock.Millis(1)
	for class < span {
		class *= 2
	}
	m.latency.Add("le_"+strconv.FormatInt(int64(class), 10), 1)
}

// Event counts an event, or changes a level, by n.
func (m *Meter) Event(name string, n int64) { m.events.Add(name, n) }

// Wait counts how long in milliseconds a request was in one phase of its way, such as the
// queue for the target or the target itself.
func (m *Meter) Wait(phase string, span clock.Millis) {
	name := "verbenad_request_ms{part=\"" + m.part + "\",phase=\"" + phase + "\"}"
	h, ok := m.series.Load(name)
	if !ok {
		h, _ = m.series.LoadOrStore(name, metrics.GetOrCreateHistogram(name))
	}
	h.(*metrics.Histogram).Update(float64(span))
}

func (m *Meter) counter(name string) *metrics.Counter {
	c, ok := m.series.Load(name)
	if !ok {
		c, _ = m.series.LoadOrStore(name, metrics.GetOrCreateCounter(name))
	}
	return c.(*metrics.Counter)
}

// names returns the outcome and its reason as labels.
func names(o result.Outcome) (kind, reason string) {
	switch o := o.(type) {
	case result.Answered:
		return "answered", strconv.Itoa(o.Status())
	case result.Refused:
		return "refused", string(o.Reason())
	case result.Unknown:
		return "unknown", string(o.Reason())
	}
	return "none", ""
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
