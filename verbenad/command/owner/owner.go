// Package owner guards the target beside the daemon: it lets a request through only
// while the daemon may serve it, and reports honestly when that is in doubt.
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
)

// HotCounters is how many keys are counted at once, and so 1/HotCounters the
// least share of requests at which a key is surely found.
const HotCounters = 256

// DefaultTimeout bounds requests that arrive without a deadline.
const DefaultTimeout = 30 * clock.Second

// Sender exchanges one request with the target beside the daemon.
type Sender interface {
	Send(ctx context.Context, w call.Attempt) call.Reply
}

// Owner serves requests with the target beside the daemon. It is safe for
// concurrent use.
type Owner struct {
	clock    *clock.Clock
	cell     *snap.Store
	target   Sender
	extender Extender
	dialect  Dialect
	room     atomic.Int64 // slots that the target announced, 0 if it did not
	name     atomic.Pointer[string]
	flight   *flight.Tracker
	gate     *admit.Limiter
	lane     lane
	closed   atomic.Bool
	attempts atomic.Uint64
	meter    *meter.Meter
	log      *logrus.Entry // nil for none
	story    *reqlog.Logger

	mu      sync.Mutex
	hot     *topk.Sketch
	cells   map[int]uint64
	running map[*guard]struct{} // at a target that does not check leases
	lasting map[*guard]struct{} // at a target that does
}

// Option sets one property of an Owner.
type Option func(*Owner)

// WithClock sets the clock of leases and deadlines.
func WithClock(c *clock.Clock) Option { return func(o *Owner) { o.clock = c } }

// WithStore sets where snapshots are read.
func WithStore(c *snap.Store) Option { return func(o *Owner) { o.cell = c } }

// WithTarget sets the target.
func WithTarget(t Sender) Option { return func(o *Owner) { o.target = t } }

// WithExtender sets who tells the target of renewals; it must be set if Prolong is called.
func WithExtender(e Extender) Option { return func(o *Owner) { o.extender = e } }

// New returns an owner. Cell and target must be set by options.
func New(opts ...Option) *Owner {
	o := &Owner{
		clock:   clock.New(),
		flight:  flight.New(),
		gate:    newGate(),
		lane:    lane{gate: newGate()},
		meter:   meter.ForPart("owner"),
		hot:     topk.New(HotCounters),
		cells:   map[int]uint64{},
		dialect: plain{},
		running: map[*guard]struct{}{},
		lasting: map[*guard]struct{}{},
	}
	o.attempts.Store(rand.Uint64())
	o.SetTarget("", 0)
	for _, f := range opts {
		f(o)
	}
	if o.log != nil {
		o.story = reqlog.New(o.clock, o.log, "owner")
	}
	return o
}

// WithLog sets the log of requests that the target does not answer.
func WithLog(e *logrus.Entry) Option {
	return func(o *Owner) { o.log = e }
}

// WithDialect sets how the target is spoken to.
func WithDialect(d Dialect) Option { return func(o *Owner) { o.dialect = d } }

// WithQueueOrder sets who of the waiting requests goes first.
func WithQueueOrder(x admit.Order) Option {
	return func(o *Owner) { o.gate, o.lane.gate = newGate(admit.WithOrder(x)), newGate(admit.WithOrder(x)) }
}

// WithLink sets the rate in Mbit/s of the instance's link, 0 if it is not known, and how many bytes
// of a body another daemon sends ahead. Bodies that others have are let in so that they do not fill
// the link.
func WithLink(rate float64, ahead int) Option {
	return func(o *Owner) { o.lane.width = width(rate, ahead) }
}

func newGate(opts ...admit.Option) *admit.Limiter {
	return admit.New(admit.NewLimits(rules.DefaultSlots, rules.DefaultQueueLength, rules.DefaultQueueWait), opts...)
}

// SetTarget sets the name of the target, and how many requests it runs at once, 0 if only
// the rules say it.
func (o *Owner) SetTarget(name string, slots int) {
	o.name.Store(&name)
	o.room.Store(int64(slots))
}

// slots returns how many requests the target of the service is sent at once.
func (o *Owner) slots(s rules.Service) int {
	if room := int(o.room.Load()); room > 0 {
		return min(room, s.Connections())
	}
	return min(s.Slots(), s.Connections())
}

// TakeCells returns the counts of requests by cell since the last call, in no order, and
// the pace of the target.
func (o *Owner) TakeCells() ([]load.Cell, load.TargetStats) {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]load.Cell, 0, len(o.cells))
	for c, n := range o.cells {
		list = append(list, load.NewCell(c, n))
	}
	clear(o.cells)
	return list, load.NewTargetStats(int(o.room.Load()), o.gate.MeanServiceTime(), o.gate.Waiting())
}

// InFlight returns the count of requests in flight.
func (o *Owner) InFlight() *flight.Tracker { return o.flight }

// Close refuses all requests from now on; those in flight go on.
func (o *Owner) Close() { o.closed.Store(true) }

// Waiting returns how many requests wait for a slot.
func (o *Owner) Waiting() int { return o.gate.Waiting() }

// TakeHotKeys returns at most n keys with the most requests since the last call, the
// first first, and starts anew.
func (o *Owner) TakeHotKeys(n int) []topk.Count {
	o.mu.Lock()
	defer o.mu.Unlock()
	top := o.hot.Top(n)
	o.hot.Reset()
	return top
}

// Serve runs one request. The reply is a call.Answer whose body must be closed, or
// a call.Failure.
func (o *Owner) Serve(ctx context.Context, r call.Request) call.Reply {
	g := &guard{owner: o, request: r, deadline: o.deadline(ctx), entered: o.clock.Now()}
	g.leave = o.flight.Enter(r.Service(), r.Shard())
	o.meter.Begin()
	var reply call.Reply = call.Unknown(result.Interrupted)
	if crash.Catch(o.log, "serve a request", func() { reply = g.serve(ctx) }) != nil && g.passed {
		g.free(g.abandoned)() // the target may run it
	}
	switch reply := reply.(type) {
	case call.Response:
		b := &guarded{guard: g, status: reply.Status(), body: reply.Body()}
		return call.NewResponse(reply.Status(), reply.Fields(), b, reply.Length())
	case call.Failure:
		g.done(reply.Outcome())
		return reply
	}
	return call.Unknown(result.Interrupted)
}

// deadline returns the instant at which the owner is done with a request: a little
// before the end of ctx.
func (o *Owner) deadline(ctx context.Context) clock.Millis {
	left := DefaultTimeout
	if end, ok := ctx.Deadline(); ok {
		left = max(0, clock.Millis(time.Until(end).Milliseconds()))
	}
	return o.clock.Now().Add(left - min(reserve, left/reserveShare))
}

// count adds the request to the hot keys.
func (o *Owner) count(r call.Request, s rules.Service) {
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
	o.hot.Add(r.Key())
}

// admission is what the daemon knew when it let a request pass.
type admission struct {
	service rules.Service
	epoch   table.Epoch
	until   clock.Millis
}

// check decides whether the request may go to the target at this instant.
func (o *Owner) check(r call.Request) (admission, result.Reason) {
	s, now := o.cell.Load(), o.clock.Now()
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
		if s.Table().ShardOf(r.Service(), r.Key(), k.Shards()) != r.Shard() {
			return admission{}, result.NotOwner
		}
		epoch, owns := s.Owns(r.Service(), r.Shard(), now)
		if !owns {
			return admission{}, result.NotOwner
		}
		return admission{service: service, epoch: epoch, until: s.LeaseEnd()}, ""
	case rules.Ordered:
		return o.checkOrdered(s, service, k, r.Key())
	case rules.Pooled:
		return o.checkPooled(s, service)
	}
	return admission{}, result.UnknownService
}

// checkOrdered checks ownership of a key that is a number. The key may belong to this
// daemon while its target does not hold it yet.
func (o *Owner) checkOrdered(s *snap.Snapshot, service rules.Service, k rules.Ordered, key string) (admission, result.Reason) {
	n, ok := table.ParseKey(key, k.Keys())
	if !ok {
		return admission{}, result.BadRequest
	}
	epoch, held := s.OwnsKey(service.Name(), n, o.clock.Now())
	switch {
	case epoch == 0:
		return admission{}, result.NotOwner
	case !held:
		return admission{}, result.NotHeld
	}
	return admission{service: service, epoch: epoch, until: s.LeaseEnd()}, ""
}

func (o *Owner) checkPooled(s *snap.Snapshot, service rules.Service) (admission, result.Reason) {
	m, ok := s.Table().Member(s.Self())
	if !ok || m.Service() != service.Name() {
		return admission{}, result.NotOwner
	}
	switch m.Phase().(type) {
	case table.Leaving:
		return admission{}, result.Leaving
	case table.Warming, table.Serving:
	}
	return admission{service: service, until: s.RulesEnd()}, ""
}

// holds reports whether a keyed request that was admitted at the epoch is still covered
// by ownership: the shard may be on its way to a successor, but not gone.
func (o *Owner) holds(r call.Request, epoch table.Epoch) bool {
	s := o.cell.Load()
	if s.Self() != r.Incarnation() || o.clock.Now() >= s.LeaseEnd() {
		return false
	}
	switch h := s.Table().Ownership(r.Service(), r.Shard()).(type) {
	case table.Owned:
		return h.Owner() == s.Self() && h.Epoch() == epoch
	case table.Moving:
		return h.From() == s.Self() && h.Epoch() == epoch
	case table.Vacant:
		return false
	}
	return false
}
