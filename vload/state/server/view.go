package server

import "verbenabank/core/clock"

// Status is the status of a target that its control goroutine publishes to the goroutines that serve
// requests. It is immutable.
type Status struct {
	started    clock.Millis
	slowdown   float64
	reportMode ReportMode
	load       Load
	draining   bool
}

// NewStatus returns the status of a target that started at an instant on the boot clock, at normal speed and
// with truthful reports.
func NewStatus(started clock.Millis) Status {
	return Status{started: started, slowdown: 1, reportMode: Truthful{}}
}

// Started returns when the target started, on the boot clock.
func (s Status) Started() clock.Millis { return s.started }

// Slowdown returns the factor by which service times are longer than usual, 1 for normal speed.
func (s Status) Slowdown() float64 { return s.slowdown }

// ReportMode returns whether health and load reports are truthful.
func (s Status) ReportMode() ReportMode { return s.reportMode }

// Load returns the load as of the last update, which with a report lag is older than the present load.
func (s Status) Load() Load { return s.load }

// Draining reports whether the target is shutting down.
func (s Status) Draining() bool { return s.draining }

// WithTuning returns a copy with another slowdown and report mode.
func (s Status) WithTuning(t Tuning) Status {
	s.slowdown, s.reportMode = t.slowdown, t.reportMode
	return s
}

// WithLoad returns a copy with another load.
func (s Status) WithLoad(l Load) Status {
	s.load = l
	return s
}

// WithDraining returns a copy that says that the target is shutting down.
func (s Status) WithDraining() Status {
	s.draining = true
	return s
}

// Load is the number of requests that a target runs and queues.
type Load struct {
	running int
	waiting int
}

// NewLoad returns a load of running requests, which hold a slot, and waiting ones.
func NewLoad(running, waiting int) Load { return Load{running: running, waiting: waiting} }

// Running returns how many requests hold a slot.
func (l Load) Running() int { return l.running }

// Waiting returns how many requests wait in the queue for a slot.
func (l Load) Waiting() int { return l.waiting }

// Tuning is a change that an experiment makes to a running target.
type Tuning struct {
	slowdown   float64
	reportMode ReportMode
}

// NewTuning returns a tuning. The slowdown is the factor by which service times are longer, 1 for normal
// speed.
func NewTuning(slowdown float64, m ReportMode) Tuning {
	return Tuning{slowdown: slowdown, reportMode: m}
}

// Slowdown returns the factor by which service times are longer, 1 for normal speed.
func (t Tuning) Slowdown() float64 { return t.slowdown }

// ReportMode returns whether health and load reports are truthful.
func (t Tuning) ReportMode() ReportMode { return t.reportMode }

// ReportMode says whether health and load reports are truthful: Truthful, AlwaysHealthy or AlwaysUnhealthy.
type ReportMode interface{ reportMode() }

// Truthful means that reports are true as of the last update.
type Truthful struct{}

// AlwaysHealthy means that reports always say that the target is healthy and idle.
type AlwaysHealthy struct{}

// AlwaysUnhealthy means that reports always say that the target is unhealthy and that its slots and queue are
// full.
type AlwaysUnhealthy struct{}

func (Truthful) reportMode()        {}
func (AlwaysHealthy) reportMode()   {}
func (AlwaysUnhealthy) reportMode() {}
