// Package meter publishes counters, gauges and latency histograms of requests, as expvar
// variables and as Prometheus metrics.
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

// prefix starts the name of each expvar variable.
const prefix = "verbenad."

// Meter holds the request metrics of one part of the daemon. It is safe for concurrent use.
type Meter struct {
	outcomes        *expvar.Map
	latency         *expvar.Map
	events          *expvar.Map
	inFlight        *expvar.Int
	part            string
	outcomeCounters sync.Map // outcomeLabels to *metrics.Counter
	phaseHistograms sync.Map // phase to *metrics.Histogram
}

// outcomeLabels are the labels of the counter of finished requests.
type outcomeLabels struct {
	outcome string
	reason  string
}

var (
	mu     sync.Mutex
	meters = map[string]*Meter{}
)

// ForPart returns the meter of the named part. All calls with one name share a meter, since a
// process can publish each variable only once.
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

// Begin counts a request as in flight until End.
func (m *Meter) Begin() { m.inFlight.Add(1) }

// End records the outcome and the latency of a request that is no longer in flight. The
// expvar histogram has buckets whose upper bounds are powers of two in milliseconds.
func (m *Meter) End(o result.Outcome, latency clock.Millis) {
	m.inFlight.Add(-1)
	m.outcomes.Add(outcomeKey(o), 1)
	m.outcomeCounter(labelsOf(o)).Inc()
	m.ObservePhase("whole", latency)
	bound := clock.Millis(1)
	for bound < latency {
		bound *= 2
	}
	m.latency.Add("le_"+strconv.FormatInt(int64(bound), 10), 1)
}

// Add adds n to the named counter. A value that rises and falls, such as the length of a
// queue, takes a negative n as well.
func (m *Meter) Add(name string, n int64) { m.events.Add(name, n) }

// RegisterGauge registers a gauge of a service whose value is read on each scrape, such as the
// remaining retry budget. If the gauge exists already, it keeps its first callback.
func (m *Meter) RegisterGauge(name, service string, read func() float64) {
	metrics.GetOrCreateGauge(fmt.Sprintf("verbenad_%s{part=%q,service=%q}", name, m.part, service), read)
}

// ObservePhase records in a histogram how long, in milliseconds, a request spent in one phase, such
// as the queue for the target or the target itself.
func (m *Meter) ObservePhase(phase string, duration clock.Millis) {
	h, ok := m.phaseHistograms.Load(phase)
	if !ok {
		name := fmt.Sprintf("verbenad_request_ms{part=%q,phase=%q}", m.part, phase)
		h, _ = m.phaseHistograms.LoadOrStore(phase, metrics.GetOrCreateHistogram(name))
	}
	h.(*metrics.Histogram).Update(float64(duration))
}

func (m *Meter) outcomeCounter(l outcomeLabels) *metrics.Counter {
	c, ok := m.outcomeCounters.Load(l)
	if !ok {
		name := fmt.Sprintf("verbenad_requests_total{part=%q,outcome=%q,reason=%q}", m.part, l.outcome, l.reason)
		c, _ = m.outcomeCounters.LoadOrStore(l, metrics.GetOrCreateCounter(name))
	}
	return c.(*metrics.Counter)
}

// labelsOf returns the labels of an outcome. The reason of an answered request is the status.
func labelsOf(o result.Outcome) outcomeLabels {
	switch o := o.(type) {
	case result.Answered:
		return outcomeLabels{outcome: "answered", reason: strconv.Itoa(o.Status())}
	case result.Refused:
		return outcomeLabels{outcome: "refused", reason: string(o.Reason())}
	case result.Unknown:
		return outcomeLabels{outcome: "unknown", reason: string(o.Reason())}
	}
	return outcomeLabels{outcome: "none"}
}

// outcomeKey returns the name of an outcome in the expvar map.
func outcomeKey(o result.Outcome) string {
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
