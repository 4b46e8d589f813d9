// Package relay routes requests to targets: it selects the member, forwards the request to its
// daemon, and retries failed attempts.
//
// It is independent of the protocol of callers. A front end parses a request, builds a Request
// and writes the reply.
package relay

import (
	"context"
	"sync"
	"sync/atomic"

	"verbenabank/core/clock"
	"verbenabank/core/command/balance"
	"verbenabank/core/command/budget"
	"verbenabank/core/query/picker"
	"verbenabank/core/query/retry"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/verbenad/command/meter"
	"verbenabank/verbenad/command/rooms"
)

// Local serves requests for the target on the same instance as this daemon.
type Local interface {
	Serve(ctx context.Context, r call.Request) call.Reply
}

// Remote forwards requests to the daemons at other addresses.
type Remote interface {
	Send(ctx context.Context, address string, r call.Request) call.Reply
}

// Relay routes requests, with one retry budget per service, statistics on the targets of pooled
// services and circuit breakers for keys. It is safe for concurrent use.
type Relay struct {
	clock         *clock.Clock
	store         *snap.Store
	local         Local
	remote        Remote
	policy        retry.Policy
	zone          string
	budgetOptions []budget.Option
	retryPercent  int // retries per 100 requests; -1 uses the setting of each service
	meter         *meter.Meter
	index         atomic.Pointer[route.Index]
	indexMu       sync.Mutex // held while an index is built, so that concurrent requests build it once
	budgets       sync.Map   // service name to *budget.Budget
	policyOfPools picker.Policy
	workOptions   []balance.Option
	balancer      *balancer
	breakers      *breakers
	throttle      *throttle
	rooms         *rooms.Rooms // nil to refuse nothing at the entry for lack of room
}

// Option configures a Relay.
type Option func(*Relay)

// WithClock sets the clock of all deadlines; the default is a new clock.
func WithClock(c *clock.Clock) Option { return func(r *Relay) { r.clock = c } }

// WithStore sets the store of the current snapshot. It is required.
func WithStore(s *snap.Store) Option { return func(r *Relay) { r.store = s } }

// WithLocal sets the handler of requests for the target on this instance.
func WithLocal(l Local) Option { return func(r *Relay) { r.local = l } }

// WithRemote sets the client that forwards requests to other daemons.
func WithRemote(m Remote) Option { return func(r *Relay) { r.remote = m } }

// WithRetry sets the retry policy; the default is retry.IfSafe.
func WithRetry(p retry.Policy) Option { return func(r *Relay) { r.policy = p } }

// WithZone sets the availability zone of the instance, which is preferred for pooled services.
func WithZone(zone string) Option { return func(r *Relay) { r.zone = zone } }

// WithRetryBudget sets the options of the retry budgets; each service has a budget of its own.
func WithRetryBudget(opts ...budget.Option) Option { return func(r *Relay) { r.budgetOptions = opts } }

// WithRetryPercent sets how many retries 100 requests allow, for all services in place of their own
// settings.
func WithRetryPercent(percent int) Option { return func(r *Relay) { r.retryPercent = percent } }

// WithBalancing sets how targets of pooled services are picked; the default is picker.LeastLatency.
func WithBalancing(p picker.Policy) Option { return func(r *Relay) { r.policyOfPools = p } }

// WithOwnBacklog sets the function that returns the backlog of the target on this instance.
func WithOwnBacklog(f func() load.Backlog) Option {
	return func(r *Relay) { r.workOptions = append(r.workOptions, balance.WithOwnBacklog(f)) }
}

// WithRooms sets what decides about room at targets; without it no request is refused at the entry for lack of room.
func WithRooms(x *rooms.Rooms) Option { return func(r *Relay) { r.rooms = x } }

// WithMeter sets the meter that counts retries and exhausted budgets.
func WithMeter(m *meter.Meter) Option { return func(r *Relay) { r.meter = m } }

// New returns a relay. It reads the table of the current snapshot at once.
func New(opts ...Option) *Relay {
	r := &Relay{clock: clock.New(), policy: retry.IfSafe{}, meter: meter.ForPart("entry"), retryPercent: -1,
		policyOfPools: picker.LeastLatency{}}
	for _, o := range opts {
		o(r)
	}
	r.balancer = newBalancer(r.clock, r.policyOfPools, balance.New(r.workOptions...))
	r.breakers = newBreakers(r.clock)
	r.throttle = newThrottle(r.clock)
	r.index.Store(route.NewIndex(r.store.Load().Table()))
	return r
}

// Index returns the routing index of the snapshot's table. The index is built on the first call
// for a new table and cached; concurrent callers wait for it.
func (r *Relay) Index(s *snap.Snapshot) *route.Index {
	if x := r.index.Load(); x.Table() == s.Table() {
		return x
	}
	r.indexMu.Lock()
	defer r.indexMu.Unlock()
	x := r.index.Load()
	if x.Table() != s.Table() {
		x = x.WithTable(s.Table())
		r.index.Store(x)
	}
	return x
}

// Limits returns the size and time limits of callers' requests in the current table.
func (r *Relay) Limits() rules.Limits { return r.store.Load().Table().Rules().Limits() }

func (r *Relay) budget(service string) *budget.Budget {
	if b, ok := r.budgets.Load(service); ok {
		return b.(*budget.Budget)
	}
	stored, loaded := r.budgets.LoadOrStore(service, budget.New(r.budgetOptions...))
	b := stored.(*budget.Budget)
	if !loaded {
		r.meter.RegisterGauge("retries_left", service, b.Left)
	}
	return b
}
