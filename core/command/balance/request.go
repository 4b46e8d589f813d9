package balance

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/cost"
	"verbenabank/core/query/picker"
	"verbenabank/core/state/table"
)

const (
	// hopCost is the cost of the way to another daemon and back in milliseconds, without a body.
	hopCost = 1.0
	// linkBytes is how many bytes of a body the link of an instance carries in a millisecond.
	linkBytes = 1 << 10
	// overheadBytes is the size of the messages between daemons for one request, without the bodies.
	overheadBytes = 600
	// unknownBytes is the assumed size of a body of unknown length.
	unknownBytes = 64 << 10
	// goalDivisor is the part of the time to the latency goal, less the expected cost, that the way to another zone may
	// cost at most: a target near by is left before its queue makes the request late.
	goalDivisor = 3
)

// Request is a request for which a target is to be picked, with its candidates.
type Request struct {
	class cost.Class
	bytes float64
	goal  float64 // time to the latency goal in milliseconds, 0 for none
	zone  string
	own   []table.Member
	near  []table.Member
	all   []table.Member
}

// NewRequest returns a request of the class with a body of the length in bytes, 0 for none and -1 if it is not known.
func NewRequest(c cost.Class, length int64) Request {
	if length < 0 {
		length = unknownBytes
	}
	return Request{class: c, bytes: float64(length)}
}

// WithCandidates sets the zone of the daemon and the candidates: all of them, those in the zone, and the target on the
// same instance, if it is one. The lists must not be modified.
func (r Request) WithCandidates(zone string, own, near, all []table.Member) Request {
	r.zone, r.own, r.near, r.all = zone, own, near, all
	return r
}

// WithGoal sets the time in milliseconds that is left to meet the latency goal.
func (r Request) WithGoal(left clock.Millis) Request {
	r.goal = float64(max(1, left))
	return r
}

// Class returns the class of the request.
func (r Request) Class() cost.Class { return r.class }

// way is the cost of the ways to targets and back in milliseconds.
type way struct {
	own  table.Incarnation // the target of this instance, 0 if it is not a candidate
	zone string
	near float64
	far  float64
}

// wayTo returns the cost of the ways. The bodies of the request and of the response cross the links of two instances and,
// in another zone, those between the zones, which carry less. The less time is left for a wait, the less the latter may
// cost.
func (r Request) wayTo(expected cost.Estimate, zoneCost clock.Millis) way {
	bytes := overheadBytes + r.bytes + expected.ResponseLength()
	w := way{zone: r.zone, near: hopCost + bytes/linkBytes}
	if len(r.own) > 0 {
		w.own = r.own[0].Incarnation()
	}
	between := float64(zoneCost) * bytes / picker.ZoneCostBytes
	if r.goal > 0 {
		between = min(between, max(0, r.goal-expected.Mean())/goalDivisor)
	}
	w.far = w.near + between
	return w
}

// cost returns the cost of the way to the member.
func (w way) cost(m *table.Member) float64 {
	switch {
	case m.Incarnation() == w.own:
		return 0
	case m.Zone() == w.zone:
		return w.near
	default:
		return w.far
	}
}
