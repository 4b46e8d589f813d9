package room

import "verbenabank/core/clock"

// Arrival is what arrived at the daemon of a target: Call, Outer or Turned.
type Arrival interface{ arrival() }

// Call is a call of a target that runs another request.
type Call struct{}

// Outer is a request of a caller.
type Outer struct{}

// Turned is a request of a caller that must be refused, since the calls of its target have too little room.
type Turned struct{}

func (Call) arrival()   {}
func (Outer) arrival()  {}
func (Turned) arrival() {}

const (
	// callRank ranks calls before new requests of any priority: the request that makes the call holds a slot of its
	// target already.
	callRank = -1
	// A call may wait in the queue for the time to its deadline divided by callWaitDivisor, and for minCallWait if less
	// remains.
	callWaitDivisor = 2
	minCallWait     = 50 * clock.Millisecond
)

// Place is the place of a request in the queue of a target.
type Place struct {
	rank int
	wait clock.Millis
	stay clock.Millis
	goal clock.Millis // time left to the latency goal
	mean clock.Millis // service time of the class
}

// NewPlace returns the place of a request of the priority that is refused if its expected wait exceeds wait or its
// actual one exceeds stay.
func NewPlace(priority int, wait, stay clock.Millis) Place {
	return Place{rank: priority, wait: wait, stay: stay}
}

// WithGoal sets the time that is left to the latency goal, and the mean service time of the request's class.
func (p Place) WithGoal(left, serviceTime clock.Millis) Place {
	p.goal, p.mean = left, serviceTime
	return p
}

// For returns the place of an arrival whose deadline is left milliseconds away; without an arrival it stays as it is.
// Calls go first, and may wait while they can be done by their deadline. Outer requests leave the
// queue when they would miss their latency goal, however often they were overtaken: holding them longer delays the
// refusal and their return.
func (p Place) For(a Arrival, left clock.Millis) Place {
	if a == nil {
		return p
	}
	switch a.(type) {
	case Call:
		p.rank, p.wait = callRank, max(minCallWait, left/callWaitDivisor)
	case Outer, Turned:
		p.stay = min(p.stay, max(p.wait, p.goal-p.mean))
	}
	return p
}

// Rank returns the priority in the queue; 0 is the highest of requests that are no calls.
func (p Place) Rank() int { return p.rank }

// Firm reports whether the request is exempt from the rules of a standing queue, as calls are: no more of them wait than
// the targets that make them have slots.
func (p Place) Firm() bool { return p.rank == callRank }

// Wait returns the longest wait that the request may expect.
func (p Place) Wait() clock.Millis { return p.wait }

// Stay returns the longest time in the queue.
func (p Place) Stay() clock.Millis { return p.stay }
