// Package rooms applies the decisions of core/command/room in a daemon. The owner and the relay share one Rooms: the
// calls of the local target pass the relay of the same daemon that admits new requests to that target.
package rooms

import (
	"maps"
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/core/command/room"
	"verbenabank/core/query/retry"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/command/meter"
)

const (
	// maxCalls is the number of classes that are remembered as calls of the local target.
	maxCalls = 256
	// callLifetime is how long a class counts as calls of the local target after a reply has last said so. The daemons
	// of the called targets learn which classes are calls, so they may be wrong at first.
	callLifetime = 10 * clock.Second
	// Callers return over the time to their latency goal divided by spreadDivisor after the time that a refusal names,
	// and over minSpread if less remains: a caller that returns later cannot be answered in time.
	spreadDivisor = 4
	minSpread     = 20 * clock.Millisecond
)

// Rooms decides which requests compete for the room of targets. It is safe for concurrent use.
type Rooms struct {
	clock  *clock.Clock
	meter  *meter.Meter
	log    *logrus.Entry // nil for no log
	random func() float64

	mu       sync.Mutex
	origins  *room.Origins
	demand   *room.Demand
	gate     *room.Gate
	levels   *room.Levels
	throttle *room.Throttle
	calls    map[string]clock.Millis // when classes of calls of the local target end to count as such
	closed   bool                    // the gate is logged as closed
}

// Option configures Rooms.
type Option func(*Rooms)

// WithClock sets the clock; the default is a new clock.
func WithClock(c *clock.Clock) Option { return func(r *Rooms) { r.clock = c } }

// WithMeter sets the meter that counts calls and refusals.
func WithMeter(m *meter.Meter) Option { return func(r *Rooms) { r.meter = m } }

// WithRandom sets the source of random numbers from 0 up to 1 by which attempts are throttled.
func WithRandom(f func() float64) Option { return func(r *Rooms) { r.random = f } }

// WithLog sets the log of when the gate of the local target closes and opens.
func WithLog(e *logrus.Entry) Option { return func(r *Rooms) { r.log = e } }

// New returns Rooms that admit everything until they learn otherwise.
func New(opts ...Option) *Rooms {
	r := &Rooms{
		clock: clock.New(), random: rand.Float64, meter: meter.ForPart("room"), origins: room.NewOrigins(), demand: room.NewDemand(),
		gate: room.NewGate(), levels: room.NewLevels(), throttle: room.NewThrottle(), calls: map[string]clock.Millis{},
	}
	for _, f := range opts {
		f(r)
	}
	r.meter.RegisterGauge("admitted_percent", "", func() float64 { return float64(r.admitted()) })
	return r
}

// admitted returns the percentage of new requests of the lowest priority that the gate admits.
func (r *Rooms) admitted() int {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gate.Share(lowest, now)
}

// lowest is a priority below all others.
const lowest = 1 << 20

// Arrive classifies a request for the local target and counts it.
func (r *Rooms) Arrive(q call.Request) room.Arrival {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.Origin() != "" {
		r.origins.Record(q.Class(), q.Origin())
	}
	switch {
	case r.origins.IsCall(q.Class()):
		r.meter.Add("calls", 1)
		return room.Call{}
	case !r.gate.Admits(q.ID(), q.Priority(), now):
		r.meter.Add("turned_away", 1)
		return room.Turned{}
	}
	return room.Outer{}
}

// Decided counts whether the local target had room for a new request.
func (r *Rooms) Decided(q call.Request, admitted bool) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand.Record(q.Priority(), admitted, now)
}

// Room returns what the reply to a request tells its sender.
func (r *Rooms) Room(q call.Request, a room.Arrival) load.Room {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch a.(type) {
	case room.Call:
		priority, share := r.demand.Share(now)
		return load.NewRoom(priority, share).ForCall()
	case room.Outer, room.Turned:
		return load.NewRoom(q.Priority(), r.gate.Share(q.Priority(), now))
	}
	return load.Room{}
}

// Refuses reports whether a request that entered at this daemon is refused at once: the targets of its class admit too
// small a share.
func (r *Rooms) Refuses(class, id string) bool {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCall(class, now) || r.levels.Admits(class, id, now) {
		return false
	}
	r.meter.Add("refused_at_entry", 1)
	return true
}

// Throttles reports whether an attempt of a request that may go to any target of its service is refused at once, since
// few targets have room. Calls are never refused so.
func (r *Rooms) Throttles(class string) bool {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCall(class, now) || !r.throttle.Refuses(class, r.random(), now) {
		return false
	}
	r.throttle.Record(class, false, now)
	r.meter.Add("throttled", 1)
	return true
}

// Learn takes the room that a reply named to this daemon, and reports whether a refusal is final: other targets of the
// class would refuse the request too.
func (r *Rooms) Learn(class, id string, told load.Room, refused bool) (final bool) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.throttle.Record(class, !refused, now)
	if told.Called() {
		r.rememberCall(class, now)
		if told.Share() < room.Full {
			r.gate.RecordShare(told.Priority(), told.Share(), now)
			r.logGate(now)
		}
		return false
	}
	r.levels.Record(class, told.Share(), now)
	return refused && (!r.levels.Admits(class, id, now) || (id == "" && r.levels.Share(class, now) < room.Full))
}

// rememberCall counts the class as calls of the local target for callLifetime.
func (r *Rooms) rememberCall(class string, now clock.Millis) {
	if _, known := r.calls[class]; !known && len(r.calls) >= maxCalls {
		maps.DeleteFunc(r.calls, func(_ string, until clock.Millis) bool { return now >= until })
		if len(r.calls) >= maxCalls {
			return
		}
	}
	r.calls[class] = now + callLifetime
}

func (r *Rooms) isCall(class string, now clock.Millis) bool { return now < r.calls[class] }

// End counts the outcome of a request that entered at this daemon, if it is a call of the local target.
func (r *Rooms) End(class string, o result.Outcome) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isCall(class, now) {
		return
	}
	lost := lacksRoom(o) && !sent(o)
	if lost {
		r.meter.Add("calls_refused", 1)
	}
	r.gate.RecordCall(lost, now)
	r.logGate(now)
}

// lacksRoom reports whether a call failed for lack of room; nil is a response.
func lacksRoom(o result.Outcome) bool {
	f, refused := o.(result.Refused)
	if !refused {
		return false
	}
	switch f.Reason() {
	case result.Overloaded, result.Shed, result.Expired:
		return true
	case result.BadRequest, result.UnknownService, result.UnknownRoute, result.TooLarge, result.HeadTooLarge, result.TimedOut,
		result.Interrupted, result.Truncated, result.Mismatched, result.LeaseLapsed, result.Cancelled, result.NotReady,
		result.NoOwner, result.NotOwner, result.NotHeld, result.NoTarget, result.Leaving, result.Unreachable, result.ZoneDrained:
		return false
	}
	return false
}

// closedBelow is the share under which the gate is logged as closed, until it is open again.
const closedBelow = 75

// logGate logs that the gate closes or opens.
func (r *Rooms) logGate(now clock.Millis) {
	share := r.gate.Share(lowest, now)
	switch {
	case r.log == nil:
	case !r.closed && share < closedBelow:
		r.closed = true
		r.log.WithField("admitted_percent", share).Info("rooms: calls of the local target find too little room, fewer new requests are admitted")
	case r.closed && share >= room.Full:
		r.closed = false
		r.log.Info("rooms: calls of the local target find room again, all new requests are admitted")
	}
}

// sent reports whether a target itself refused the request. A target that refuses while its daemon finds room has a fault,
// and fewer outer requests would not end it.
func sent(o result.Outcome) bool {
	f, refused := o.(result.Refused)
	return refused && f.Sent()
}

// SpreadOut returns the refusal with a time after which the caller returns that differs from one caller to the next, so
// that those refused together don't return together. left is the time to the caller's latency goal. A refusal after which
// a retry can't succeed stays as it is.
func SpreadOut(o result.Refused, left clock.Millis) result.Refused {
	after := retry.After(o)
	if !lacksRoom(o) || after <= 0 {
		return o
	}
	return o.WithRetryAfter(after + rand.N(max(minSpread, left/spreadDivisor)))
}
