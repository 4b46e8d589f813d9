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
	// A call may wait in the queue for the time to its deadline divided by callWaitDivisor, and for minCallWait if less
	// remains.
	callWaitDivisor = 2
	minCallWait     = 50 * clock.Millisecond
	// A call goes before more urgent requests once it has waited for its latency goal divided by patienceDivisor, less
	// its service time.
	patienceDivisor = 2
)

// Place is the place of a request in the queue of a target.
type Place struct {
	rank int
	wait clock.Millis
	stay clock.Millis
	goal clock.Millis // time left to the latency goal
	mean clock.Millis // service time of the class
	firm bool
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
// Calls go first among their priority, soon before all others, and may wait while they can be done by their deadline.
// Outer requests leave the queue when they would miss their latency goal, however often they were overtaken: holding them
// longer delays the refusal and their return.
func (p Place) For(a Arrival, left clock.Millis) Place {
	if a == nil {
		return p
	}
	switch a.(type) {
	case Call:
		p.firm, p.wait = true, max(minCallWait, left/callWaitDivisor)
	case Outer, Turned:
		p.stay = min(p.stay, max(p.wait, p.goal-p.mean))
	}
	return p
}

// Rank returns the priority in the queue; 0 is the highest of requests that are no calls.
func (p Place) Rank() int { return p.rank }

// Firm reports whether the request is exempt from the rules of a standing queue, as calls are: no more of them wait than
// the targets that make them have slots.
func (p Place) Firm() bool { return p.firm }

// Patience returns how long a firm request waits behind more urgent ones: the request that makes a call holds a slot of
// its target meanwhile.
func (p Place) Patience() clock.Millis { return max(0, p.goal/patienceDivisor-p.mean) }

// Wait returns the longest wait that the request may expect.
func (p Place) Wait() clock.Millis { return p.wait }

// Stay returns the longest time in the queue.
func (p Place) Stay() clock.Millis { return p.stay }
