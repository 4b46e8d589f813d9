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

// runCommand is the subcommand that runs an experiment.
type runCommand struct {
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
	fleet   fleetOptions
}

func newRunCommand() *runCommand {
	r := &runCommand{command: flaggy.NewSubcommand("run")}
	c := r.command
	c.Description = "Run an experiment: start its fleet, send its load, report the measures, and stop the fleet."
	c.AddPositionalValue(&r.path, "EXPERIMENT", 1, true, "experiment file")
	c.UInt64(&r.seed, "", "seed", "seed (overrides the file)")
	c.Int(&r.seconds, "", "seconds", "duration of the load in seconds (overrides the file)")
	c.Float64(&r.rate, "", "rate", "requests per second (overrides the file)")
	c.String(&r.routing, "", "routing", "daemons, or a baseline: modulo, random or round-robin (overrides the file)")
	c.String(&r.retry, "", "retry", "which requests without an answer callers retry: none or all (overrides the file)")
	c.String(&r.plot, "", "plot", "write a plot of latency and availability over time to this PNG file")
	c.String(&r.json, "", "json", "write the report to this JSON file")
	c.String(&r.calls, "", "calls", "write the calls that were not answered to this file, as JSON lines")
	r.fleet.addFlags(c)
	flaggy.AttachSubcommand(c, 1)
	return r
}

func (r *runCommand) execute(ctx context.Context, log *logrus.Logger) error {
	e, path, err := conf.ReadExperiment(r.path)
	if err != nil {
		return err
	}
	if e, err = r.applyFlags(e); err != nil {
		return err
	}
	l, err := conf.ReadLayout(path)
	if err != nil {
		return err
	}
	recorded, stopErr, err := r.runExperiment(ctx, e, l.WithSubnet(r.fleet.subnet), log)
	if err != nil {
		return err
	}
	p := report.New(recorded)
	if err := r.writeReports(p, recorded); err != nil {
		return err
	}
	return errors.Join(stopErr, checkResult(e, p))
}

// applyFlags returns the experiment with the values that the command line overrides.
func (r *runCommand) applyFlags(e plan.Experiment) (plan.Experiment, error) {
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

// runExperiment starts the fleet, sends the load, stops the fleet and reads the
// ledgers. The second result is the error of stopping the fleet, with which the run
// is still valid.
func (r *runCommand) runExperiment(ctx context.Context, e plan.Experiment, l layout.Layout, log *logrus.Logger) (report.Run, error, error) {
	_, daemons := e.Routing().(plan.Daemons)
	f, stop, err := r.fleet.start(ctx, l, daemons, log)
	if err != nil {
		return report.Run{}, nil, err
	}
	settle := time.NewTimer(e.Settle().Duration())
	defer settle.Stop()
	select {
	case <-settle.C:
	case <-ctx.Done():
	}
	d, closeDriver := drive.New(drive.WithExperiment(e, l), drive.WithFleet(f), drive.WithLog(log))
	recorded := d.Run(ctx)
	closeDriver()
	outages := f.Outages()
	stopErr := stop()
	ledger, err := jsonl.Read(f.LedgerPaths()...)
	if err != nil {
		return report.Run{}, stopErr, err
	}
	return recorded.WithLedger(ledger, outages), stopErr, nil
}

func (r *runCommand) writeReports(p report.Report, recorded report.Run) error {
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
	return graph.Write(r.plot, recorded.Calls(), recorded.From())
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

// checkResult returns an error if an invariant was violated or too few requests were
// answered. Baselines are only measured: they do not give the guarantees of the
// daemons.
func checkResult(e plan.Experiment, p report.Report) error {
	switch e.Routing().(type) {
	case plan.Modulo, plan.Random, plan.RoundRobin:
		return nil
	case plan.Daemons:
	}
	if !p.Violations().None() {
		return fail("judge", InvariantViolated)
	}
	if p.AnsweredPercent() < e.MinAnsweredPercent() {
		return fail("judge", TooFewAnswers)
	}
	return nil
}
