// Package report summarizes a run as a text table, as JSON, and as a list of failed
// calls.
package report

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
	"verbenabank/vload/query/metric"
	"verbenabank/vload/state/call"
	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/ledger"
	"verbenabank/vload/state/plan"
)

// Range and precision of the latency histograms. Longer latencies are recorded as
// maxLatency.
const (
	maxLatency        = 2 * time.Minute
	significantDigits = 3
)

// Run holds the data recorded in a run. Instants are on the boot clock.
type Run struct {
	experiment   plan.Experiment
	layout       layout.Layout
	calls        []call.Call
	ledger       ledger.Ledger
	outages      []layout.Outage
	from         clock.Millis
	until        clock.Millis
	maxSendDelay time.Duration
}

// NewRun returns a run of an experiment on a layout whose load lasted from the
// instant from until the instant until.
func NewRun(e plan.Experiment, l layout.Layout, from, until clock.Millis) Run {
	return Run{experiment: e, layout: l, from: from, until: until}
}

// WithCalls returns the run with its calls. maxSendDelay is the longest delay between
// the due time of a request and the time when it was sent.
func (r Run) WithCalls(calls []call.Call, maxSendDelay time.Duration) Run {
	r.calls, r.maxSendDelay = calls, maxSendDelay
	return r
}

// WithLedger returns the run with the ledger of all targets and the outages of
// instances.
func (r Run) WithLedger(l ledger.Ledger, outages []layout.Outage) Run {
	r.ledger, r.outages = l, outages
	return r
}

// Calls returns the calls. The caller must not change them.
func (r Run) Calls() []call.Call { return r.calls }

// From returns the instant on the boot clock at which the load began.
func (r Run) From() clock.Millis { return r.from }

// Report is the summary of a run.
type Report struct {
	run        Run
	outcomes   map[string]int
	answered   int
	kinds      []kindSummary
	services   []serviceSummary
	violations metric.Violations
	inDoubt    int
}

// kindSummary summarizes the calls of one service and HTTP method.
type kindSummary struct {
	service  string
	method   string
	count    int
	answered int
	latency  *hdrhistogram.Histogram // microseconds, answered calls only
}

// serviceSummary holds the measures of one service.
type serviceSummary struct {
	name        string
	keyed       bool
	imbalance   metric.Imbalance
	churn       metric.Churn
	unavailable metric.Unavailability
}

// New computes the report of a run.
func New(r Run) Report {
	p := Report{run: r, outcomes: make(map[string]int)}
	kinds := make(map[string]*kindSummary)
	for _, c := range r.calls {
		p.outcomes[outcomeName(c)]++
		k := findKind(kinds, c.Request())
		k.count++
		if metric.Answered(c) {
			p.answered++
			k.answered++
			_ = k.latency.RecordValue(min(c.Latency(), maxLatency).Microseconds())
		}
	}
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		p.kinds = append(p.kinds, *kinds[name])
	}
	for _, s := range r.layout.Services() {
		p.services = append(p.services, r.summarize(s))
	}
	keyed := func(name string) bool {
		s, _ := r.layout.Service(name)
		return s.Keyed()
	}
	repeatable := func(method string) bool { return method == "GET" || method == "HEAD" || method == "OPTIONS" }
	executed := p.executedIDs()
	for _, c := range r.calls {
		if _, ok := c.Outcome().(result.Unknown); ok && executed[c.Request().ID()] {
			p.inDoubt++
		}
	}
	p.violations = metric.NewViolations(r.calls, r.ledger, keyed, repeatable)
	return p
}

// executedIDs returns the IDs of the requests that may have taken effect.
func (p Report) executedIDs() map[string]bool {
	ids := make(map[string]bool)
	for _, x := range p.run.ledger.Executions() {
		if x.MayHaveCommitted() {
			ids[x.Request().ID()] = true
		}
	}
	return ids
}

func findKind(kinds map[string]*kindSummary, r call.Request) *kindSummary {
	name := r.Service() + " " + r.Method()
	k, ok := kinds[name]
	if !ok {
		k = &kindSummary{
			service: r.Service(), method: r.Method(),
			latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		}
		kinds[name] = k
	}
	return k
}

// summarize computes the measures of one service. Executions before the start of the
// load are left out.
func (r Run) summarize(s layout.Service) serviceSummary {
	var executions []ledger.Execution
	for _, x := range r.ledger.Executions() {
		if x.Service() == s.Name() && !x.Begin().Before(r.from) {
			executions = append(executions, x)
		}
	}
	var calls []call.Call
	for _, c := range r.calls {
		if c.Request().Service() == s.Name() {
			calls = append(calls, c)
		}
	}
	var instances []string
	for _, i := range r.layout.Instances() {
		if i.Service().Name() == s.Name() {
			instances = append(instances, i.Name())
		}
	}
	return serviceSummary{
		name: s.Name(), keyed: s.Keyed(),
		imbalance:   metric.NewImbalance(executions, instances, r.outages, r.from, r.until),
		churn:       metric.NewChurn(executions),
		unavailable: metric.NewUnavailability(calls, r.experiment.AnswerWithin(), r.from),
	}
}

// outcomeName returns the outcome of a call as it appears in reports.
func outcomeName(c call.Call) string {
	switch o := c.Outcome().(type) {
	case result.Answered:
		if metric.Answered(c) {
			return "answered"
		}
		return "answered, not whole or an error"
	case result.Refused:
		return "refused: " + string(o.Reason())
	case result.Unknown:
		return "unknown: " + string(o.Reason())
	}
	return ""
}

// Violations returns the violations of invariants, for all services together.
func (p Report) Violations() metric.Violations { return p.violations }

// AnsweredPercent returns the percentage of calls that were answered completely and
// without an error, 0 without calls.
func (p Report) AnsweredPercent() float64 {
	if len(p.run.calls) == 0 {
		return 0
	}
	return 100 * float64(p.answered) / float64(len(p.run.calls))
}
