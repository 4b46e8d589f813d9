package backlog

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/load"
)

// Expected is what a target is expected to have left to do.
type Expected struct {
	last     load.Backlog
	age      clock.Millis
	work     float64
	requests float64
	sent     int
	inFlight int

	wait       float64
	correction float64
}

// Known reports whether a report of the target is fresh enough. Without one, only the requests of this daemon are
// counted.
func (e Expected) Known() bool { return e.last.Known() }

// Last returns the last report, the zero value if it is too old.
func (e Expected) Last() load.Backlog { return e.last }

// Age returns the age of the last report in milliseconds.
func (e Expected) Age() clock.Millis { return e.age }

// Slots returns how many requests the target runs at once, 0 if that is not known.
func (e Expected) Slots() int { return e.last.Slots() }

// Work returns the expected service time that is left of all requests together, in milliseconds.
func (e Expected) Work() float64 { return e.work }

// Requests returns the expected number of running and waiting requests.
func (e Expected) Requests() float64 { return e.requests }

// SentSince returns the number of requests in flight that this daemon has sent since the last report.
func (e Expected) SentSince() int { return e.sent }

// InFlight returns the number of requests of this daemon in flight at the target.
func (e Expected) InFlight() int { return e.inFlight }

// Correction returns the factor, at least 1, by which requests at the target have lately taken longer than predicted.
func (e Expected) Correction() float64 { return max(1, e.correction) }

// Wait returns the expected time in milliseconds until a slot of the target becomes free for one more request. It is
// the work left divided over the slots, weighted by how full they are: the fuller they are, the more likely is a wait
// though a slot was free when the report was made.
func (e Expected) Wait() float64 { return e.wait }
