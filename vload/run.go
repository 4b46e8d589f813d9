package main

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/vload/adapt/conf"
	"verbenabank/vload/adapt/graph"
	"verbenabank/vload/adapt/jsonl"
	"verbenabank/vload/command/drive"
	"verbenabank/vload/query/report"
	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/plan"
)

// run is the command line of an experiment.
type run struct {
	command *flaggy.Subcommand
	path    string
	seed    uint64
	seconds int
	rate    float64
	routing string
	retry   string
	plot    string
	json    string
	calls   string
	place   place
}

func newRun() *run {
	r := &run{command: flaggy.NewSubcommand("run")}
	c := r.command
	c.Description = "Start the fleet of an experiment, send its load, measure, and stop all."
	c.AddPositionalValue(&r.path, "EXPERIMENT", 1, true, "experiment file")
	c.UInt64(&r.seed, "", "seed", "seed in place of the file's")
	c.Int(&r.seconds, "", "seconds", "length of the load in place of the file's")
	c.Float64(&r.rate, "", "rate", "requests a second in place of the file's")
	c.String(&r.routing, "", "routing", "daemons, or a baseline: modulo, random, round-robin")
	c.String(&r.retry, "", "retry", "what callers do with a request that was not answered: none or all")
	c.String(&r.plot, "", "plot", "PNG file of latency and availability over time")
	c.String(&r.json, "", "json", "file of the report as JSON")
	c.String(&r.calls, "", "calls", "file of the calls that were not answered, as JSON lines")
	r.place.flags(c)
	flaggy.AttachSubcommand(c, 1)
	return r
}

func (r *run) execute(ctx context.Context, log *logrus.Logger) error {
	e, path, err := conf.ReadExperiment(r.path)
	if err != nil {
		return err
	}
	if e, err = r.change(e); err != nil {
		return err
	}
	l, err := conf.ReadLayout(path)
	if err != nil {
		return err
	}
	done, stopped, err := r.drive(ctx, e, l.WithSubnet(r.place.subnet), log)
	if err != nil {
		return err
	}
	p := report.New(done)
	if err := r.write(p, done); err != nil {
		return err
	}
	return errors.Join(stopped, verdict(e, p))
}

// change returns the experiment with what the command line sets.
func (r *run) change(e plan.Experiment) (plan.Experiment, error) {
	if r.seed != 0 {
		e = e.With(plan.WithSeed(r.seed))
	}
	if r.seconds != 0 {
		e = e.With(plan.WithDuration(clock.Millis(r.seconds)*clock.Second, e.Settle()))
	}
	if r.rate != 0 {
		e = e.With(plan.WithRate(r.rate, e.MaxInFlight()))
	}
	if r.routing != "" {
		routing, err := conf.DecodeRouting(r.routing)
		if err != nil {
			return e, err
		}
		e = e.With(plan.WithRouting(routing))
	}
	if r.retry != "" {
		retry, err := conf.DecodeRetry(r.retry)
		if err != nil {
			return e, err
		}
		e = e.With(plan.WithRetry(retry))
	}
	return e, nil
}

// drive runs the experiment. The second result is what went wrong when the fleet
// stopped.
func (r *run) drive(ctx context.Context, e plan.Experiment, l layout.Layout, log *logrus.Logger) (report.Run, error, error) {
	_, daemons := e.Routing().(plan.Daemons)
	f, stop, err := r.place.start(ctx, l, daemons, log)
	if err != nil {
		return report.Run{}, nil, err
	}
	settle := time.NewTimer(e.Settle().Duration())
	defer settle.Stop()
	select {
	case <-settle.C:
	case <-ctx.Done():
	}
	d, closeDrive := drive.New(drive.WithExperiment(e, l), drive.WithFleet(f), drive.WithLog(log))
	done := d.Run(ctx)
	closeDrive()
	outages := f.Outages()
	stopped := stop()
	ledger, err := jsonl.Read(f.LedgerPaths()...)
	if err != nil {
		return report.Run{}, stopped, err
	}
	return done.WithLedger(ledger, outages), stopped, nil
}

func (r *run) write(p report.Report, done report.Run) error {
	if err := p.Table(os.Stdout); err != nil {
		return err
	}
	if r.json != "" {
		if err := writeFile(r.json, p.JSON); err != nil {
			return err
		}
	}
	if r.calls != "" {
		if err := writeFile(r.calls, p.Calls); err != nil {
			return err
		}
	}
	if r.plot == "" {
		return nil
	}
	return graph.Write(r.plot, done.Calls(), done.From())
}

func writeFile(path string, write func(io.Writer) error) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}

// verdict returns an error if the daemons broke a promise or too little was
// answered. Baselines are only measured.
func verdict(e plan.Experiment, p report.Report) error {
	switch e.Routing().(type) {
	case plan.Modulo, plan.Random, plan.RoundRobin:
		return nil
	case plan.Daemons:
	}
	if !p.Promises().Kept() {
		return fail("judge", PromiseBroken)
	}
	if p.AnsweredPercent() < e.MinAnsweredPercent() {
		return fail("judge", TooFewAnswers)
	}
	return nil
}
