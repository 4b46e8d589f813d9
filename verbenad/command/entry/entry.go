// Package entry takes requests of callers, finds who may serve them, and tells the
// callers honestly how each of them ended.
package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"verbenabank/core/clock"
	"verbenabank/core/command/budget"
	"verbenabank/core/query/retry"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/snap"
	"verbenabank/verbenad/command/meter"
)

const (
	// MaxHeadBytes is the size of the largest head of a request.
	MaxHeadBytes = 8 << 10
	// MaxConnections is how many callers may be connected at once.
	MaxConnections = 4 << 10
)

// Local serves a request with the target beside this daemon.
type Local interface {
	Serve(ctx context.Context, r call.Request) call.Reply
}

// Remote forwards a request to the daemon at an address.
type Remote interface {
	Send(ctx context.Context, address string, r call.Request) call.Reply
}

// Entry is the server of callers. It is safe for concurrent use.
type Entry struct {
	clock    *clock.Clock
	cell     *snap.Cell
	local    Local
	remote   Remote
	policy   retry.Policy
	instance string
	zone     string
	meter    *meter.Meter

	app      *fiber.App
	watches  conc.WaitGroup
	index    atomic.Pointer[route.Index]
	indexing sync.Mutex // held while an index is made, so that it is made once
	budgets  sync.Map   // of *budget.Budget by service
	peers    *peers
}

// Option sets one property of an Entry.
type Option func(*Entry)

// WithClock sets the clock of leases and deadlines.
func WithClock(c *clock.Clock) Option { return func(e *Entry) { e.clock = c } }

// WithCell sets where snapshots are read.
func WithCell(c *snap.Cell) Option { return func(e *Entry) { e.cell = c } }

// WithLocal sets who serves requests for this daemon's own target.
func WithLocal(l Local) Option { return func(e *Entry) { e.local = l } }

// WithRemote sets who forwards requests to other daemons.
func WithRemote(r Remote) Option { return func(e *Entry) { e.remote = r } }

// WithRetry sets which failures are tried again. The default is retry.Proven.
func WithRetry(p retry.Policy) Option { return func(e *Entry) { e.policy = p } }

// WithInstance sets the names of this instance and its availability zone.
func WithInstance(name, zone string) Option {
	return func(e *Entry) { e.instance, e.zone = name, zone }
}

// New returns an entry. Cell, local and remote must be set by options.
func New(opts ...Option) *Entry {
	e := &Entry{clock: clock.New(), policy: retry.Proven{}, meter: meter.Of("entry")}
	for _, o := range opts {
		o(e)
	}
	e.peers = newPeers(e.clock, e.zone)
	e.index.Store(route.NewIndex(e.cell.Load().Table()))
	e.app = newApp(e.handle)
	return e
}

// Serve takes requests from the listener until Shutdown.
func (e *Entry) Serve(l net.Listener) error {
	return e.app.Listener(&listener{Listener: l, watches: &e.watches},
		fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown takes no new connections and returns when all requests are answered, or
// with an error when ctx ends first.
func (e *Entry) Shutdown(ctx context.Context) error { return e.app.ShutdownWithContext(ctx) }

// indexOf returns the index of the table of s.
func (e *Entry) indexOf(s *snap.Snap) *route.Index {
	if x := e.index.Load(); x.Table() == s.Table() {
		return x
	}
	e.indexing.Lock()
	defer e.indexing.Unlock()
	x := e.index.Load()
	if x.Table() != s.Table() {
		x = x.Next(s.Table())
		e.index.Store(x)
	}
	return x
}

func (e *Entry) budget(service string) *budget.Budget {
	if b, ok := e.budgets.Load(service); ok {
		return b.(*budget.Budget)
	}
	b, _ := e.budgets.LoadOrStore(service, budget.New())
	return b.(*budget.Budget)
}
