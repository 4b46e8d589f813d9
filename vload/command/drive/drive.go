// Package drive is an open-loop load generator: it sends each request of an experiment at its scheduled
// time, whatever the responses, and injects the faults of the experiment meanwhile.
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

// Driver runs one experiment on a fleet.
type Driver struct {
	experiment   plan.Experiment
	layout       layout.Layout
	fleet        *fleet.Fleet
	clock        *clock.Clock
	log          *logrus.Entry
	client       *client.Client
	addresses    map[string][]string // of the servers, by service
	calls        chan call.Call
	inFlight     chan struct{}
	maxSendDelay chan time.Duration
	senders      conc.WaitGroup
}

// Option sets one property of a Driver.
type Option func(*Driver)

// WithExperiment sets the experiment and the layout that it runs on. It is required.
func WithExperiment(e plan.Experiment, l layout.Layout) Option {
	return func(d *Driver) { d.experiment, d.layout = e, l }
}

// WithFleet sets the fleet into which faults are injected. It is required if the experiment has faults.
func WithFleet(f *fleet.Fleet) Option { return func(d *Driver) { d.fleet = f } }

// WithLog sets the logger; the default is the standard logger of logrus.
func WithLog(l *logrus.Logger) Option {
	return func(d *Driver) { d.log = l.WithField("prefix", "drive") }
}

// New returns a driver that is ready to run, and a function that closes its idle connections.
func New(opts ...Option) (*Driver, func()) {
	d := &Driver{
		clock: clock.New(), log: logrus.WithField("prefix", "drive"),
		calls: make(chan call.Call), maxSendDelay: make(chan time.Duration, 1),
	}
	for _, o := range opts {
		o(d)
	}
	d.inFlight = make(chan struct{}, d.experiment.MaxInFlight())
	d.addresses = serverAddresses(d.experiment.Routing(), d.layout)
	c, stop := client.New(client.WithRouting(d.experiment.Routing()), client.WithLayout(d.layout))
	d.client = c
	return d, stop
}

// serverAddresses returns the addresses to which requests of each service may be sent: those of all
// daemons, or for the baselines those of the service's targets.
func serverAddresses(r plan.Routing, l layout.Layout) map[string][]string {
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

// Run sends the load and returns all measurements except the ledgers. When the context ends, it sends
// no further requests, waits for those in flight, and returns what was measured so far.
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
	return run.WithCalls(calls, <-d.maxSendDelay)
}

// control is the loop of the control goroutine: it collects calls and injects faults when they are due,
// until the last call has ended. Faults that are due later are not injected.
func (d *Driver) control(faults []plan.Fault, start time.Time) []call.Call {
	var calls []call.Call
	due := nextDue(faults, start)
	for {
		select {
		case c, ok := <-d.calls:
			if !ok {
				return calls
			}
			calls = append(calls, c)
		case <-due:
			d.log.Infof("injecting fault at %d ms: %T on %v", faults[0].At(), faults[0].Action(), faults[0].Processes())
			d.fleet.InjectFault(faults[0])
			faults = faults[1:]
			due = nextDue(faults, start)
		}
	}
}

// nextDue returns a channel that fires when the first of the faults is due, or nil if there is none. The
// faults must be sorted by time.
func nextDue(faults []plan.Fault, start time.Time) <-chan time.Time {
	if len(faults) == 0 {
		return nil
	}
	return time.After(time.Until(start.Add(faults[0].At().Duration())))
}
