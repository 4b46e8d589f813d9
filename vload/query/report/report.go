// Package report sums up a run for people and for programs.
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

// Greatest latency and the digits that histograms keep.
const (
	maxLatency = 2 * time.Minute
	digits     = 3
)

// Run is all that is known of a run.
type Run struct {
	experiment plan.Experiment
	layout     layout.Layout
	calls      []call.Call
	ledger     ledger.Ledger
	outages    []layout.Outage
	from       clock.Millis
	until      clock.Millis
	lag        time.Duration
}

// NewRun returns a run of an experiment on a layout between two instants.
func NewRun(e plan.Experiment, l layout.Layout, from, until clock.Millis) Run {
	return Run{experiment: e, layout: l, from: from, until: until}
}

// WithCalls returns the run with its calls and the longest time by which one was
// sent too late.
func (r Run) WithCalls(calls []call.Call, lag time.Duration) Run {
	r.calls, r.lag = calls, lag
	return r
}

// WithLedger returns the run with what targets wrote down and the times in which
// the run itself kept instances from working.
func (r Run) WithLedger(l ledger.Ledger, outages []layout.Outage) Run {
	r.ledger, r.outages = l, outages
	return r
}

// Calls returns the calls.
func (r Run) Calls() []call.Call { return r.calls }

// From returns the instant at which the load began.
func (r Run) From() clock.Millis { return r.from }

// Report is the summary of a run.
type Report struct {
	run      Run
	outcomes map[string]int
	answered int
	kinds    []kind
	services []service
	promises metric.Promises
	unsure   int
}

// kind sums up the calls of one kind of request.
type kind struct {
	service  string
	method   string
	count    int
	answered int
	latency  *hdrhistogram.Histogram // microseconds, answered calls only
}

// service sums up one service.
type service struct {
	name        string
	keyed       bool
	imbalance   metric.Imbalance
	churn       metric.Churn
	unavailable metric.Unavailable
}

// New returns the report of a run.
func New(r Run) Report {
	p := Report{run: r, outcomes: make(map[string]int)}
	kinds := make(map[string]*kind)
	for _, c := range r.calls {
		p.outcomes[outcome(c)]++
		k := kindOf(kinds, c.Request())
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
		p.services = append(p.services, r.service(s))
	}
	keyed := func(name string) bool {
		s, _ := r.layout.Service(name)
		return s.Keyed()
	}
	repeatable := func(method string) bool { return method == "GET" || method == "HEAD" || method == "OPTIONS" }
	ran := p.ran()
	for _, c := range r.calls {
		if _, ok := c.Outcome().(result.Unknown); ok && ran[c.Request().ID()] {
			p.unsure++
		}
	}
	p.promises = metric.NewPromises(r.calls, r.ledger, keyed, repeatable)
	return p
}

// ran returns the IDs of the requests that ran.
func (p Report) ran() map[string]bool {
	ids := make(map[string]bool)
	for _, x := range p.run.ledger.Executions() {
		if x.MayHaveCommitted() {
			ids[x.Request().ID()] = true
		}
	}
	return ids
}

func kindOf(kinds map[string]*kind, r call.Request) *kind {
	name := r.Service() + " " + r.Method()
	k, ok := kinds[name]
	if !ok {
		k = &kind{
			service: r.Service(), method: r.Method(),
			latency: hdrhistogram.New(1, maxLatency.Microseconds(), digits),
		}
		kinds[name] = k
	}
	return k
}

func (r Run) service(s layout.Service) service {
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
	return service{
		name: s.Name(), keyed: s.Keyed(),
		imbalance:   metric.NewImbalance(executions, instances, r.outages, r.from, r.until),
		churn:       metric.NewChurn(executions),
		unavailable: metric.NewUnavailable(calls, r.experiment.AnswerWithin(), r.from),
	}
}

// outcome names the outcome of a call for the table.
func outcome(c call.Call) string {
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

// Promises returns the broken promises.
func (p Report) Promises() metric.Promises { return p.promises }

// AnsweredPercent returns the share of the calls that were answered.
func (p Report) AnsweredPercent() float64 {
	if len(p.run.calls) == 0 {
		return 0
	}
	return 100 * float64(p.answered) / float64(len(p.run.calls))
}
