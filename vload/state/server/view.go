package server

import "verbenabank/core/clock"

// Status is what traffic goroutines of a target read. It is immutable.
type Status struct {
	started clock.Millis
	factor  float64
	honesty ReportMode
	load    Load
	leaving bool
}

// NewStatus returns the view of a target that started at an instant.
func NewStatus(started clock.Millis) Status {
	return Status{started: started, factor: 1, honesty: Truthful{}}
}

// Started returns when the target started.
func (v Status) Started() clock.Millis { return v.started }

// Slowdown returns how much slower than usual the target is.
func (v Status) Slowdown() float64 { return v.factor }

// ReportMode returns how far reports can be trusted.
func (v Status) ReportMode() ReportMode { return v.honesty }

// Load returns the load as reported.
func (v Status) Load() Load { return v.load }

// Draining reports whether the target is about to stop.
func (v Status) Draining() bool { return v.leaving }

// WithTuning returns the view with another speed and honesty.
func (v Status) WithTuning(t Tuning) Status {
	v.factor, v.honesty = t.factor, t.honesty
	return v
}

// WithLoad returns the view with another load.
func (v Status) WithLoad(l Load) Status {
	v.load = l
	return v
}

// WithDraining returns the view of a target that is about to stop.
func (v Status) WithDraining() Status {
	v.leaving = true
	return v
}

// Load counts the requests that a target holds.
type Load struct {
	running int
	waiting int
}

// NewLoad returns the load of running and waiting requests.
func NewLoad(running, waiting int) Load { return Load{running: running, waiting: waiting} }

// Running returns how many requests hold a slot.
func (l Load) Running() int { return l.running }

// Waiting returns how many requests wait for a slot.
func (l Load) Waiting() int { return l.waiting }

// Tuning is what an experiment changes in a running target.
type Tuning struct {
	factor  float64
	honesty ReportMode
}

// NewTuning returns a tuning that makes a target slower by factor.
func NewTuning(factor float64, h ReportMode) Tuning { return Tuning{factor: factor, honesty: h} }

// Slowdown returns how much slower the target becomes.
func (t Tuning) Slowdown() float64 { return t.factor }

// ReportMode returns how far its reports can be trusted.
func (t Tuning) ReportMode() ReportMode { return t.honesty }

// ReportMode says what health and load reports are worth: Honest, ClaimsWell or
// ClaimsIll.
type ReportMode interface{ honesty() }

// Truthful reports are as true as their age allows.
type Truthful struct{}

// AlwaysHealthy reports say that the target is healthy and idle, whatever is true.
type AlwaysHealthy struct{}

// AlwaysUnhealthy reports say that the target is unhealthy and full, whatever is true.
type AlwaysUnhealthy struct{}

func (Truthful) honesty()        {}
func (AlwaysHealthy) honesty()   {}
func (AlwaysUnhealthy) honesty() {}
