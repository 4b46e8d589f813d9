package relay

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/command/rooms"
)

// entryRetryAfter is the least time after which a request returns that was refused at the entry.
const entryRetryAfter = 20 * clock.Millisecond

// origin returns the service of the target on this instance, "" if requests don't tell it.
func (t *task) origin() string {
	if t.relay.rooms == nil {
		return ""
	}
	s := t.relay.store.Load()
	m, ok := s.Table().Member(s.Self())
	if !ok {
		return ""
	}
	return m.Service()
}

// refuseAtEntry refuses a request that the targets of its class would refuse, without a trip.
func (t *task) refuseAtEntry() (call.Reply, bool) {
	if t.relay.rooms == nil || !t.relay.rooms.Refuses(t.request.class, t.request.id) {
		return nil, false
	}
	t.turnedAway = true
	return call.NewFailure(result.NewRefused(result.Overloaded, entryRetryAfter)), true
}

// throttleAtEntry refuses an attempt at a pooled service of which few targets have room, without a trip.
func (t *task) throttleAtEntry() (call.Reply, bool) {
	if t.relay.rooms == nil || !t.relay.rooms.Throttles(t.request.class) {
		return nil, false
	}
	t.turnedAway = true
	return call.NewFailure(result.NewRefused(result.Overloaded, entryRetryAfter)), true
}

// learnRoom takes the room that a reply names.
func (t *task) learnRoom(reply call.Reply) {
	if t.relay.rooms == nil {
		return
	}
	b := call.BacklogOf(reply)
	if !b.Known() {
		return
	}
	overloaded := false
	if f, failed := reply.(call.Failure); failed {
		r, refused := f.Outcome().(result.Refused)
		overloaded = refused && r.Reason() == result.Overloaded
	}
	t.turnedAway = t.relay.rooms.Learn(t.request.class, t.request.id, b.Room(), overloaded)
}

// recordEnd counts the outcome of a call of the local target; nil is a response.
func (t *task) recordEnd(o result.Outcome) {
	if t.relay.rooms != nil {
		t.relay.rooms.End(t.request.class, o)
	}
}

// spreadOut spreads the return of callers that are refused for lack of room.
func (t *task) spreadOut(o result.Outcome) result.Outcome {
	r, refused := o.(result.Refused)
	if t.relay.rooms == nil || !refused {
		return o
	}
	return rooms.SpreadOut(r, t.request.latencyGoal-t.relay.clock.Now())
}
