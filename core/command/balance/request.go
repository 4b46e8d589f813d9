package balance

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/cost"
	"verbenabank/core/state/table"
)

const (
	// hopCost is the cost of the way to another daemon and back in milliseconds, without a body.
	hopCost = 1.0
	// linkBytes is how many bytes of a body the link of an instance carries in a millisecond.
	linkBytes = 1 << 10
	// zoneBytes is how many bytes of a body cost as much on the way to another zone as a request without one.
	zoneBytes = 16 << 10
	// unknownBytes is the assumed size of a body of unknown length.
	unknownBytes = 64 << 10
	// goalDivisor is the part of the time to the latency goal, less the expected cost, that the way to another zone may
	// cost at most: a target near by is left before its queue makes the request late.
	goalDivisor = 2
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

// zoneCost returns the cost of the way to another zone for a request of the expected cost: at most limit, and less
// the less time is left for a wait.
func (r Request) zoneCost(limit, expected float64) float64 {
	if r.goal == 0 {
		return limit
	}
	return min(limit, max(0, r.goal-expected)/goalDivisor)
}

// way returns the cost of the way to the member and back in milliseconds. The body crosses the links of two instances
// and, in another zone, those between the zones, which carry less.
func (r Request) way(m *table.Member, zoneCost float64) float64 {
	if len(r.own) > 0 && m.Incarnation() == r.own[0].Incarnation() {
		return 0
	}
	hop := hopCost + r.bytes/linkBytes
	if m.Zone() == r.zone {
		return hop
	}
	return hop + zoneCost*(1+r.bytes/zoneBytes)
}
