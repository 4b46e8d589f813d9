// Package relay brings requests to the targets that are to run them: it chooses the member,
// forwards to its daemon, and decides on further attempts.
//
// It knows nothing of how callers speak. Fronts read a request, make a Demand of it and
// write the reply.
package relay

import (
	"context"
	"sync"
	"sync/atomic"

	"verbenabank/core/clock"
	"verbenabank/core/command/budget"
	"verbenabank/core/query/retry"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/verbenad/command/meter"
)

// Local serves requests whose target stands beside this daemon.
type Local interface {
	Serve(ctx context.Context, r call.Request) call.Reply
}

// Remote sends requests to other daemons.
type Remote interface {
	Send(ctx context.Context, address string, r call.Request) call.Reply
}

// Relay serves demands. It is safe for concurrent use.
type Relay struct {
	clock    *clock.Clock
	cell     *snap.Store
	local    Local
	remote   Remote
	policy   retry.Policy
	zone     string
	terms    []budget.Option
	percent  int // -1 if services say it
	meter    *meter.Meter
	index    atomic.Pointer[route.Index]
	indexing sync.Mutex // held while an index is made, so that it is made once
	budgets  sync.Map   // of *budget.Budget by service
	peers    *peers
}

// Option sets one property of a Relay.
type Option func(*Relay)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option { return func(r *Relay) { r.clock = c } }

// WithStore sets where the present snapshot is read.
func WithStore(c *snap.Store) Option { return func(r *Relay) { r.cell = c } }

// WithLocal sets what serves requests whose target stands beside this daemon.
func WithLocal(l Local) Option { return func(r *Relay) { r.local = l } }

// WithRemote sets what sends requests to other daemons.
func WithRemote(m Remote) Option { return func(r *Relay) { r.remote = m } }

// WithRetry sets the policy of further attempts.
func WithRetry(p retry.Policy) Option { return func(r *Relay) { r.policy = p } }

// WithZone sets the availability zone of the instance.
func WithZone(zone string) Option { return func(r *Relay) { r.zone = zone } }

// WithRetryBudget sets the terms of the budgets for further attempts, one for each service.
func WithRetryBudget(opts ...budget.Option) Option { return func(r *Relay) { r.terms = opts } }

// WithRetryPercent sets how many retries 100 requests allow, in place of what services say.
func WithRetryPercent(percent int) Option { return func(r *Relay) { r.percent = percent } }

// WithMeter sets what counts events.
func WithMeter(m *meter.Meter) Option { return func(r *Relay) { r.meter = m } }

// New returns a relay.
func New(opts ...Option) *Relay {
	r := &Relay{clock: clock.New(), policy: retry.IfSafe{}, meter: meter.ForPart("entry"), percent: -1}
	for _, o := range opts {
		o(r)
	}
	r.peers = newPeers(r.clock)
	r.index.Store(route.NewIndex(r.cell.Load().Table()))
	return r
}

// Index returns the index of the snapshot's table.
func (r *Relay) Index(s *snap.Snapshot) *route.Index {
	if x := r.index.Load(); x.Table() == s.Table() {
		return x
	}
	r.indexing.Lock()
	defer r.indexing.Unlock()
	x := r.index.Load()
	if x.Table() != s.Table() {
		x = x.WithTable(s.Table())
		r.index.Store(x)
	}
	return x
}

// Limits returns what callers may send at present.
func (r *Relay) Limits() rules.Limits { return r.cell.Load().Table().Rules().Limits() }

func (r *Relay) budget(service string) *budget.Budget {
	if b, ok := r.budgets.Load(service); ok {
		return b.(*budget.Budget)
	}
	made, known := r.budgets.LoadOrStore(service, budget.New(r.terms...))
	b := made.(*budget.Budget)
	if !known {
		r.meter.RegisterGauge("retries_left", service, b.Left)
	}
	return b
}
