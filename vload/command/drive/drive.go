// Package drive sends the load of an experiment at the instants that were
// planned, and has its faults done meanwhile.
package drive

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"verbenabank/core/clock"
	"verbenabank/vload/adapt/client"
	"verbenabank/vload/command/fleet"
	"verbenabank/vload/query/report"
	"verbenabank/vload/query/sched"
	"verbenabank/vload/state/call"
	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/plan"
)

// Driver is one run of an experiment on a fleet.
type Driver struct {
	experiment plan.Experiment
	layout     layout.Layout
	fleet      *fleet.Fleet
	clock      *clock.Clock
	log        *logrus.Entry
	client     *client.Client
	servers    map[string][]string
	calls      chan call.Call
	slots      chan struct{}
	lags       chan time.Duration
	senders    conc.WaitGroup
}

// Option sets one property of a Drive.
type Option func(*Driver)

// WithExperiment sets what is run, on which layout.
func WithExperiment(e plan.Experiment, l layout.Layout) Option {
	return func(d *Driver) { d.experiment, d.layout = e, l }
}

// WithFleet sets the running processes.
func WithFleet(f *fleet.Fleet) Option { return func(d *Driver) { d.fleet = f } }

// WithLog sets where the run logs.
func WithLog(l *logrus.Logger) Option {
	return func(d *Driver) { d.log = l.WithField("prefix", "drive") }
}

// New returns a run that is ready to start, and its clean-up function.
func New(opts ...Option) (*Driver, func()) {
	d := &Driver{
		clock: clock.New(), log: logrus.WithField("prefix", "drive"),
		calls: make(chan call.Call), lags: make(chan time.Duration, 1),
	}
	for _, o := range opts {
		o(d)
	}
	d.slots = make(chan struct{}, d.experiment.MaxInFlight())
	d.servers = servers(d.experiment.Routing(), d.layout)
	c, stop := client.New(client.WithRouting(d.experiment.Routing()), client.WithLayout(d.layout))
	d.client = c
	return d, stop
}

// servers returns the addresses that requests of each service may be sent to.
func servers(r plan.Routing, l layout.Layout) map[string][]string {
	addresses := make(map[string][]string)
	for _, s := range l.Services() {
		for _, i := range l.Instances() {
			switch r.(type) {
			case plan.Daemons:
				addresses[s.Name()] = append(addresses[s.Name()], i.CallersAddress())
			case plan.Modulo, plan.Random, plan.RoundRobin:
				if i.Service().Name() == s.Name() {
					addresses[s.Name()] = append(addresses[s.Name()], i.TargetAddress())
				}
			}
		}
	}
	return addresses
}

// Run sends the load and returns all that is known of it but the ledgers. It
// ends early, without an error, when the context does.
func (d *Driver) Run(ctx context.Context) report.Run {
	requests := sched.Requests(d.experiment)
	faults := slices.Clone(d.experiment.Faults())
	slices.SortStableFunc(faults, func(a, b plan.Fault) int { return cmp.Compare(a.At(), b.At()) })
	start, from := time.Now(), d.clock.Now()
	var sender conc.WaitGroup
	sender.Go(func() { d.send(ctx, requests, start, from) })
	calls := d.control(faults, start)
	sender.Wait()
	run := report.NewRun(d.experiment, d.layout, from, from+d.experiment.Duration())
	return run.WithCalls(calls, <-d.lags)
}

// control collects calls and has faults done until the last call ended.
func (d *Driver) control(faults []plan.Fault, start time.Time) []call.Call {
	var calls []call.Call
	due := next(faults, start)
	for {
		select {
		case c, ok := <-d.calls:
			if !ok {
				return calls
			}
			calls = append(calls, c)
		case <-due:
			d.log.Infof("fault after %d ms: %T on %v", faults[0].At(), faults[0].Action(), faults[0].Processes())
			d.fleet.InjectFault(faults[0])
			faults = faults[1:]
			due = next(faults, start)
		}
	}
}

// next returns a channel that fires when the first of the faults is due.
func next(faults []plan.Fault, start time.Time) <-chan time.Time {
	if len(faults) == 0 {
		return nil
	}
	return time.After(time.Until(start.Add(faults[0].At().Duration())))
}
