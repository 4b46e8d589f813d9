package server

import "verbenabank/core/clock"

// View is what traffic goroutines of a target read. It is immutable.
type View struct {
	started    clock.Millis
	slowdown   float64
	reportMode Honesty
	load       Load
	draining   bool
}

// NewView returns the view of a target that started at an instant.
func NewView(started clock.Millis) View {
	return View{started: started, slowdown: 1, reportMode: Honest{}}
}

// Started returns when the target started.
func (v View) Started() clock.Millis { return v.started }

// Factor returns how much slower than usual the target is.
func (v View) Factor() float64 { return v.slowdown }

// Honesty returns how far reports can be trusted.
func (v View) Honesty() Honesty { return v.reportMode }

// Load returns the load as reported.
func (v View) Load() Load { return v.load }

// Leaving reports whether the target is about to stop.
func (v View) Leaving() bool { return v.draining }

// WithTuning returns the view with another speed and honesty.
func (v View) WithTuning(t Tuning) View {
	v.slowdown, v.reportMode = t.slowdown, t.reportMode
	return v
}

// WithLoad returns the view with another load.
func (v View) WithLoad(l Load) View {
	v.load = l
	return v
}

// WithLeaving returns the view of a target that is about to stop.
func (v View) WithLeaving() View {
	v.draining = true
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
	slowdown   float64
	reportMode Honesty
}

// NewTuning returns a tuning that makes a target slower by factor.
func NewTuning(factor float64, h Honesty) Tuning { return Tuning{slowdown: factor, reportMode: h} }

// Factor returns how much slower the target becomes.
func (t Tuning) Factor() float64 { return t.slowdown }

// Honesty returns how far its reports can be trusted.
func (t Tuning) Honesty() Honesty { return t.reportMode }

// Honesty says what health and load reports are worth: Honest, ClaimsWell or
// ClaimsIll.
type Honesty interface{ honesty() }

// Honest reports are as true as their age allows.
type Honest struct{}

// ClaimsWell reports say that the target is healthy and idle, whatever is true.
type ClaimsWell struct{}

// ClaimsIll reports say that the target is unhealthy and full, whatever is true.
type ClaimsIll struct{}

func (Honest) honesty()     {}
func (ClaimsWell) honesty() {}
func (ClaimsIll) honesty()  {}
