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
	ended    sync.Map // of *metrics.Counter by end
	phases   sync.Map // of *metrics.Histogram by phase
}

// end is how requests ended: the outcome and its reason.
type end struct {
	kind   string
	reason string
}

var (
	mu     sync.Mutex
	meters = map[string]*Meter{}
)

// ForPart returns the meter of the part, the same one for each call with its name, since
// variables are published once for the process.
func ForPart(part string) *Meter {
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
	m.counter(ended(o)).Inc()
	m.ObservePhase("whole", span)
	class := clock.Millis(1)
	for class < span {
		class *= 2
	}
	m.latency.Add("le_"+strconv.FormatInt(int64(class), 10), 1)
}

// Add counts an event, or changes a level, by n.
func (m *Meter) Add(name string, n int64) { m.events.Add(name, n) }

// RegisterGauge publishes a value that is read when it is asked for, such as what is left of the retries
// of a service.
func (m *Meter) RegisterGauge(name, service string, read func() float64) {
	metrics.GetOrCreateGauge(fmt.Sprintf("verbenad_%s{part=%q,service=%q}", name, m.part, service), read)
}

// ObservePhase counts how long in milliseconds a request was in one phase of its way, such as the
// queue for the target or the target itself.
func (m *Meter) ObservePhase(phase string, span clock.Millis) {
	h, ok := m.phases.Load(phase)
	if !ok {
		name := fmt.Sprintf("verbenad_request_ms{part=%q,phase=%q}", m.part, phase)
		h, _ = m.phases.LoadOrStore(phase, metrics.GetOrCreateHistogram(name))
	}
	h.(*metrics.Histogram).Update(float64(span))
}

func (m *Meter) counter(e end) *metrics.Counter {
	c, ok := m.ended.Load(e)
	if !ok {
		name := fmt.Sprintf("verbenad_requests_total{part=%q,outcome=%q,reason=%q}", m.part, e.kind, e.reason)
		c, _ = m.ended.LoadOrStore(e, metrics.GetOrCreateCounter(name))
	}
	return c.(*metrics.Counter)
}

// ended returns the outcome and its reason as labels.
func ended(o result.Outcome) end {
	switch o := o.(type) {
	case result.Answered:
		return end{kind: "answered", reason: strconv.Itoa(o.Status())}
	case result.Refused:
		return end{kind: "refused", reason: string(o.Reason())}
	case result.Unknown:
		return end{kind: "unknown", reason: string(o.Reason())}
	}
	return end{kind: "none"}
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
