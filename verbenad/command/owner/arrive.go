package owner

import (
	"verbenabank/core/clock"
	"verbenabank/core/command/room"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/result"
)

// turnedRetryAfter is the least time after which a request returns that was turned away.
const turnedRetryAfter = 20 * clock.Millisecond

// arrive classifies the request, and reports whether it may compete for a slot.
func (x *exchange) arrive() (call.Failure, bool) {
	if x.owner.rooms == nil {
		return call.Failure{}, true
	}
	x.arrival = x.owner.rooms.Arrive(x.request)
	switch x.arrival.(type) {
	case room.Turned:
		return call.NewFailure(result.NewRefused(result.Overloaded, turnedRetryAfter)), false
	case room.Call, room.Outer:
	}
	return call.Failure{}, true
}

// recordDecision counts whether a new request got a slot.
func (x *exchange) recordDecision(f call.Failure) {
	if _, ok := x.arrival.(room.Outer); !ok {
		return
	}
	x.owner.rooms.Decided(x.request, f.Outcome() == nil)
}

// backlog returns what the target has left to do, and for the sender of the request the room at the target.
func (x *exchange) backlog() load.Backlog {
	b := x.owner.Backlog()
	if x.arrival == nil {
		return b
	}
	return b.WithRoom(x.owner.rooms.Room(x.request, x.arrival))
}
