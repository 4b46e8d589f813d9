package load

import "verbenabank/core/clock"

// Backlog is what a target has left to do at one instant, as the daemon next to it counts it. Every reply between
// daemons carries the backlog of the target that it is about.
type Backlog struct {
	slots    int
	running  int
	waiting  int
	work     clock.Millis
	meanTime clock.Millis
	cold     ColdStart
	served   clock.Millis
	room     Room
}

// NewBacklog returns the backlog of a target with the number of slots, of running and of waiting requests.
func NewBacklog(slots, running, waiting int) Backlog {
	return Backlog{slots: slots, running: running, waiting: waiting}
}

// WithWork sets the expected service time that is left of the running and waiting requests together, and the mean
// service time of a request, both in milliseconds at the present speed of the target.
func (b Backlog) WithWork(left, meanTime clock.Millis) Backlog {
	b.work, b.meanTime = left, meanTime
	return b
}

// WithCold sets the state of a target that has started lately or lost its caches.
func (b Backlog) WithCold(c ColdStart) Backlog {
	b.cold = c
	return b
}

// WithServed sets the service time of the request that is answered, in milliseconds.
func (b Backlog) WithServed(took clock.Millis) Backlog {
	b.served = took
	return b
}

// Served returns the service time in milliseconds of the request that is answered, 0 if it did not run or failed.
func (b Backlog) Served() clock.Millis { return b.served }

// WithRoom sets the room for new requests.
func (b Backlog) WithRoom(r Room) Backlog {
	b.room = r
	return b
}

// Room returns the room for new requests, the zero value if there is enough.
func (b Backlog) Room() Room { return b.room }

// Known reports whether the backlog was reported at all.
func (b Backlog) Known() bool { return b.slots > 0 }

// Slots returns how many requests the target runs at once.
func (b Backlog) Slots() int { return b.slots }

// Running returns the number of requests that the target runs.
func (b Backlog) Running() int { return b.running }

// Waiting returns the number of requests that wait for a slot.
func (b Backlog) Waiting() int { return b.waiting }

// Work returns the expected service time that is left of all requests together, in milliseconds.
func (b Backlog) Work() clock.Millis { return b.work }

// MeanTime returns the mean service time of a request in milliseconds.
func (b Backlog) MeanTime() clock.Millis { return b.meanTime }

// Cold returns the state of a target that has started lately, the zero value if it is warm.
func (b Backlog) Cold() ColdStart { return b.cold }

// ColdStart is how long a target stays cold, and how many more requests it takes in the meantime.
type ColdStart struct {
	left   clock.Millis
	admits int
}

// NewColdStart returns the state of a target that stays cold for the time left, in milliseconds, and takes a number of
// requests at present.
func NewColdStart(left clock.Millis, admits int) ColdStart {
	return ColdStart{left: left, admits: admits}
}

// Left returns how long the target stays cold, 0 if it is warm.
func (c ColdStart) Left() clock.Millis { return c.left }

// Admits returns how many requests a cold target takes at present.
func (c ColdStart) Admits() int { return c.admits }
