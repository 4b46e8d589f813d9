package server

import "verbenabank/core/clock"

// View is the status of a target that its control goroutine publishes to the goroutines that serve
// requests. It is immutable.
type View struct {
	started    clock.Millis
	slowdown   float64
	reportMode Honesty
	load       Load
	draining   bool
}

// NewView returns the status of a target that started at an instant on the boot clock, at normal speed and
// with truthful reports.
func NewView(started clock.Millis) View {
	return View{started: started, slowdown: 1, reportMode: Honest{}}
}

// Started returns when the target started, on the boot clock.
func (v View) Started() clock.Millis { return v.started }

// Factor returns the factor by which service times are longer than usual, 1 for normal speed.
func (v View) Factor() float64 { return v.slowdown }

// Honesty returns whether health and load reports are truthful.
func (v View) Honesty() Honesty { return v.reportMode }

// Load returns the load as of the last update, which with a report lag is older than the present load.
func (v View) Load() Load { return v.load }

// Leaving reports whether the target is shutting down.
func (v View) Leaving() bool { return v.draining }

// WithTuning returns a copy with another slowdown and report mode.
func (v View) WithTuning(t Tuning) View {
	v.slowdown, v.reportMode = t.slowdown, t.reportMode
	return v
}

// WithLoad returns a copy with another load.
func (v View) WithLoad(l Load) View {
	v.load = l
	return v
}

// WithLeaving returns a copy that says that the target is shutting down.
func (v View) WithLeaving() View {
	v.draining = true
	return v
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
	reportMode Honesty
}

// NewTuning returns a tuning. The slowdown is the factor by which service times are longer, 1 for normal
// speed.
func NewTuning(slowdown float64, m Honesty) Tuning { return Tuning{slowdown: slowdown, reportMode: m} }

// Factor returns the factor by which service times are longer, 1 for normal speed.
func (t Tuning) Factor() float64 { return t.slowdown }

// Honesty returns whether health and load reports are truthful.
func (t Tuning) Honesty() Honesty { return t.reportMode }

// Honesty says whether health and load reports are truthful: Truthful, AlwaysHealthy or AlwaysUnhealthy.
type Honesty interface{ reportMode() }

// Honest means that reports are true as of the last update.
type Honest struct{}

// ClaimsWell means that reports always say that the target is healthy and idle.
type ClaimsWell struct{}

// ClaimsIll means that reports always say that the target is unhealthy and that its slots and queue are
// full.
type ClaimsIll struct{}

func (Honest) reportMode()     {}
func (ClaimsWell) reportMode() {}
func (ClaimsIll) reportMode()  {}
