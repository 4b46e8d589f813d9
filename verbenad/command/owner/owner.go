// Package owner serves requests with the local target of the daemon. It forwards a request
// only while the daemon owns its key, and reports the outcome as unknown if the request may
// have run without ownership.
package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/core/command/admit"
	"verbenabank/core/command/cost"
	"verbenabank/core/command/topk"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/verbenad/command/crash"
	"verbenabank/verbenad/command/flight"
	"verbenabank/verbenad/command/meter"
	"verbenabank/verbenad/command/reqlog"
	"verbenabank/verbenad/command/rooms"
)

// HotCounters is the number of counters for hot keys. A key with at least 1/HotCounters of the
// requests is certain to be found.
const HotCounters = 256

// DefaultTimeout applies to requests that arrive without a deadline.
const DefaultTimeout = 30 * clock.Second

// Sender sends one attempt of a request to the local target and returns its response.
type Sender interface {
	Send(ctx context.Context, a call.Attempt) call.Reply
}

// Owner serves requests with the local target. It is safe for concurrent use.
type Owner struct {
	clock          *clock.Clock
	store          *snap.Store
	target         Sender
	extender       Extender
	dialect        Dialect
	announcedSlots atomic.Int64 // 0 if the target announced none
	usedSlots      atomic.Int64 // concurrency limit of the last request, 0 before the first one
	targetName     atomic.Pointer[string]
	inFlight       *flight.Tracker
	limiter        *admit.Limiter
	bodies         bodyLimiter
	work           *cost.Work
	report         targetReport
	cold           *coldGate
	closed         atomic.Bool
	holdOff        atomic.Int64 // in ms
	attempts       atomic.Uint64
	meter          *meter.Meter
	rooms          *rooms.Rooms  // nil to let all requests compete alike
	log            *logrus.Entry // nil for no request log
	requestLog     *reqlog.Logger

	mu              sync.Mutex
	hotKeys         *topk.Sketch
	cells           map[int]uint64
	cancelOnLapse   map[*exchange]struct{} // requests at a target that does not check leases
	extendOnRenewal map[*exchange]struct{} // requests at a target that does
}

// Option sets one property of an Owner.
type Option func(*Owner)

// WithClock sets the clock for leases and deadlines, by default the boot clock of the machine.
func WithClock(c *clock.Clock) Option { return func(o *Owner) { o.clock = c } }

// WithStore sets the store from which the current snapshot is read.
func WithStore(s *snap.Store) Option { return func(o *Owner) { o.store = s } }

// WithTarget sets the client of the local target.
func WithTarget(t Sender) Option { return func(o *Owner) { o.target = t } }

// WithExtender sets the client for lease extensions. It must be set if ExtendLeases is called.
func WithExtender(e Extender) Option { return func(o *Owner) { o.extender = e } }

// New returns an owner. The options must set the snapshot store and the target.
func New(opts ...Option) *Owner {
	o := &Owner{
		clock:           clock.New(),
		inFlight:        flight.New(),
		limiter:         newLimiter(),
		bodies:          bodyLimiter{limiter: newLimiter()},
		work:            cost.NewWork(),
		cold:            newColdGate(),
		meter:           meter.ForPart("owner"),
		hotKeys:         topk.New(HotCounters),
		cells:           map[int]uint64{},
		dialect:         nativeDialect{},
		cancelOnLapse:   map[*exchange]struct{}{},
		extendOnRenewal: map[*exchange]struct{}{},
	}
	o.attempts.Store(rand.Uint64())
	o.SetTarget("", 0)
	for _, f := range opts {
		f(o)
	}
	o.cold.start(o)
	if o.log != nil {
		o.requestLog = reqlog.New(o.clock, o.log, "owner")
	}
	return o
}

// WithLog turns on the log of requests that fail or get no response.
func WithLog(e *logrus.Entry) Option {
	return func(o *Owner) { o.log = e }
}

// WithDialect sets the dialect of the target, by default that of the Verbena header fields.
func WithDialect(d Dialect) Option { return func(o *Owner) { o.dialect = d } }

// WithRooms sets what decides between calls of other targets and new requests; without it they compete alike.
func WithRooms(r *rooms.Rooms) Option { return func(o *Owner) { o.rooms = r } }

// WithQueueOrder sets the order in which queued requests are admitted.
func WithQueueOrder(x admit.Order) Option {
	return func(o *Owner) {
		o.limiter, o.bodies.limiter = newLimiter(admit.WithOrder(x)), newLimiter(admit.WithOrder(x))
	}
}

// WithLink sets the rate of the instance's network link in Mbit/s, 0 if it is not known, and how
// many bytes of a body another daemon sends ahead of its reader. On a slow link the number of
// bodies fetched at once is limited, so that they don't fill it.
func WithLink(rate float64, ahead int) Option {
	return func(o *Owner) { o.bodies.limit = concurrentBodies(rate, ahead) }
}

func newLimiter(opts ...admit.Option) *admit.Limiter {
	return admit.New(admit.NewLimits(rules.DefaultSlots, rules.DefaultQueueLength, rules.DefaultQueueWait), opts...)
}

// SetTarget sets the name of the target and how many requests it runs at once, 0 to use the
// number of slots in the rules.
func (o *Owner) SetTarget(name string, slots int) {
	if previous := o.targetName.Swap(&name); previous != nil && *previous != "" && *previous != name {
		o.cold.replace()
	}
	o.announcedSlots.Store(int64(slots))
	o.usedSlots.Store(0)
}

// slots returns the concurrency limit of the target.
func (o *Owner) slots(s rules.Service) int {
	if announced := int(o.announcedSlots.Load()); announced > 0 {
		return min(announced, s.Connections())
	}
	return min(s.Slots(), s.Connections())
}

// TakeCells returns the number of requests per cell of keys since the previous call, in no
// particular order, and the statistics of the target.
func (o *Owner) TakeCells() ([]load.Cell, load.TargetStats) {
	o.mu.Lock()
	defer o.mu.Unlock()
	cells := make([]load.Cell, 0, len(o.cells))
	for c, n := range o.cells {
		cells = append(cells, load.NewCell(c, n))
	}
	clear(o.cells)
	return cells, load.NewTargetStats(int(o.announcedSlots.Load()), o.limiter.MeanServiceTime(), o.limiter.Waiting())
}

// Backlog returns what the target has left to do, as this daemon counts it.
func (o *Owner) Backlog() load.Backlog {
	slots, now := int(o.usedSlots.Load()), o.clock.Now()
	if slots == 0 {
		slots = int(o.announcedSlots.Load())
	}
	l := o.limiter.TargetLoad()
	left, mean := o.work.Left(now)
	if mean == 0 {
		mean = l.MeanTime()
	}
	return o.report.weighed(load.NewBacklog(slots, l.Running(), l.Waiting()).WithWork(left, mean), now).WithCold(o.cold.state())
}

// InFlight returns the tracker of in-flight requests.
func (o *Owner) InFlight() *flight.Tracker { return o.inFlight }

// Close refuses all further requests with result.Leaving; those in flight go on.
func (o *Owner) Close() { o.closed.Store(true) }

// Waiting returns how many requests are queued for a slot of the target.
func (o *Owner) Waiting() int { return o.limiter.Waiting() }

// TakeHotKeys returns at most n keys with the most requests since the previous call, in descending
// order, and resets the counters.
func (o *Owner) TakeHotKeys(n int) []topk.Count {
	o.mu.Lock()
	defer o.mu.Unlock()
	top := o.hotKeys.Top(n)
	o.hotKeys.Reset()
	return top
}

// Serve runs one request. The reply is a call.Response, whose body the caller must close, or a
// call.Failure.
func (o *Owner) Serve(ctx context.Context, r call.Request) call.Reply {
	x := &exchange{owner: o, request: r, deadline: o.deadline(ctx), enteredAt: o.clock.Now()}
	x.leave = o.inFlight.Enter(r.Service(), r.Shard())
	o.meter.Begin()
	var reply call.Reply = call.Unknown(result.Interrupted)
	if crash.Catch(o.log, "serve a request", func() { reply = x.run(ctx) }) != nil && x.submitted {
		x.once(x.releaseAfterLease)() // the target may run it
	}
	switch reply := reply.(type) {
	case call.Response:
		b := &leasedBody{exchange: x, status: reply.Status(), body: reply.Body()}
		return reply.WithBody(b).WithBacklog(x.backlog().WithServed(x.recordServed(reply)))
	case call.Failure:
		x.finish(reply.Outcome())
		return o.withHoldOff(reply).WithBacklog(x.backlog())
	}
	return call.Unknown(result.Interrupted)
}

// deadline returns the instant until which the owner works on a request: the end of ctx less
// the reserve for the way back.
func (o *Owner) deadline(ctx context.Context) clock.Millis {
	remaining := DefaultTimeout
	if end, ok := ctx.Deadline(); ok {
		remaining = max(0, clock.Millis(time.Until(end).Milliseconds()))
	}
	return o.clock.Now().Add(remaining - min(deadlineReserve, remaining/deadlineReserveDivisor))
}

// countKey counts the request for load reports: by cell if the key is a number, by key
// otherwise.
func (o *Owner) countKey(r call.Request, s rules.Service) {
	if r.Key() == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if k, ok := s.Kind().(rules.Ordered); ok {
		if n, ok := table.ParseKey(r.Key(), k.Keys()); ok {
			o.cells[load.CellOf(n)]++
		}
		return
	}
	o.hotKeys.Add(r.Key())
}

// admission is the state under which the daemon admitted a request.
type admission struct {
	service  rules.Service
	epoch    table.Epoch
	leaseEnd clock.Millis
}

// check decides by the current snapshot whether the request may go to the target now. The reason
// is "" if it may.
func (o *Owner) check(r call.Request) (admission, result.Reason) {
	s, now := o.store.Load(), o.clock.Now()
	service, ok := s.Table().Rules().Service(r.Service())
	switch {
	case o.closed.Load():
		return admission{}, result.Leaving
	case !s.RulesValid(now):
		return admission{}, result.NotReady
	case !ok:
		return admission{}, result.UnknownService
	case s.Self() == 0 || s.Self() != r.Incarnation():
		return admission{}, result.NotOwner
	}
	switch k := service.Kind().(type) {
	case rules.Keyed:
		if s.KeysClosed(now) {
			return admission{}, result.Leaving
		}
		if s.Table().ShardOf(r.Service(), r.Key(), k.Shards()) != r.Shard() {
			return admission{}, result.NotOwner
		}
		epoch, owns := s.Owns(r.Service(), r.Shard(), now)
		if !owns {
			return admission{}, result.NotOwner
		}
		return admission{service: service, epoch: epoch, leaseEnd: s.LeaseEnd()}, ""
	case rules.Ordered:
		return o.checkOrdered(s, service, k, r.Key())
	case rules.Pooled:
		return o.checkPooled(s, service)
	}
	return admission{}, result.UnknownService
}

// checkOrdered checks ownership of a key that is a number. The reason is result.NotHeld if the
// daemon owns the key but its target doesn't hold it yet.
func (o *Owner) checkOrdered(s *snap.Snapshot, service rules.Service, k rules.Ordered, key string) (admission, result.Reason) {
	n, ok := table.ParseKey(key, k.Keys())
	if !ok {
		return admission{}, result.BadRequest
	}
	now := o.clock.Now()
	epoch, held := s.OwnsKey(service.Name(), n, now)
	switch {
	case s.KeysClosed(now):
		return admission{}, result.Leaving
	case epoch == 0:
		return admission{}, result.NotOwner
	case !held:
		return admission{}, result.NotHeld
	}
	return admission{service: service, epoch: epoch, leaseEnd: s.LeaseEnd()}, ""
}

// checkPooled checks that the target belongs to the service and isn't about to leave. Requests of
// a pooled service have no key, so there is no ownership to check.
func (o *Owner) checkPooled(s *snap.Snapshot, service rules.Service) (admission, result.Reason) {
	m, ok := s.Table().Member(s.Self())
	if !ok || m.Service() != service.Name() {
		return admission{}, result.NotOwner
	}
	if s.Drained() {
		return admission{}, result.Leaving
	}
	switch m.Phase().(type) {
	case table.Leaving:
		return admission{}, result.Leaving
	case table.Warming, table.Serving:
	}
	return admission{service: service, leaseEnd: s.RulesEnd()}, ""
}

// stillOwns reports whether the daemon still owns the shard of a request that was admitted at the
// epoch. It does so while the shard is moving to a successor, until it is released.
func (o *Owner) stillOwns(r call.Request, epoch table.Epoch) bool {
	s := o.store.Load()
	if s.Self() != r.Incarnation() || o.clock.Now() >= s.LeaseEnd() {
		return false
	}
	switch own := s.Table().Ownership(r.Service(), r.Shard()).(type) {
	case table.Owned:
		return own.Owner() == s.Self() && own.Epoch() == epoch
	case table.Moving:
		return own.From() == s.Self() && own.Epoch() == epoch
	case table.Vacant:
		return false
	}
	return false
}
