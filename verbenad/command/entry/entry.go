// Package entry takes requests of callers, finds who may serve them, and tells the
// callers honestly how each of them ended.
package entry

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"verbenabank/core/clock"
	"verbenabank/core/query/retry"
	"verbenabank/core/state/snap"
	"verbenabank/verbenad/command/meter"
	"verbenabank/verbenad/command/relay"
)

const (
	// MaxHeadBytes is the size of the largest head of a request.
	MaxHeadBytes = 8 << 10
	// MaxConnections is how many callers may be connected at once.
	MaxConnections = 4 << 10
)

// Server takes requests of callers. It is safe for concurrent use.
type Server struct {
	clock    *clock.Clock
	relay    *relay.Relay
	relaying []relay.Option
	instance string
	meter    *meter.Meter
	app      *fiber.App
	watches  conc.WaitGroup
	leaving  atomic.Bool
}

// Option sets one property of an Entry.
type Option func(*Server)

// WithClock sets the clock.
func WithClock(c *clock.Clock) Option {
	return func(e *Server) { e.clock = c; e.pass(relay.WithClock(c)) }
}

// WithStore sets where the present snapshot is read.
func WithStore(c *snap.Store) Option { return func(e *Server) { e.pass(relay.WithStore(c)) } }

// WithLocal sets what serves requests whose target stands beside this daemon.
func WithLocal(l relay.Local) Option { return func(e *Server) { e.pass(relay.WithLocal(l)) } }

// WithRemote sets what sends requests to other daemons.
func WithRemote(r relay.Remote) Option { return func(e *Server) { e.pass(relay.WithRemote(r)) } }

// WithRetry sets the policy of further attempts.
func WithRetry(p retry.Policy) Option { return func(e *Server) { e.pass(relay.WithRetry(p)) } }

// WithInstance sets the names of the instance and its availability zone.
func WithInstance(name, zone string) Option {
	return func(e *Server) { e.instance = name; e.pass(relay.WithZone(zone)) }
}

func (e *Server) pass(o relay.Option) { e.relaying = append(e.relaying, o) }

// New returns an entry.
func New(opts ...Option) *Server {
	e := &Server{clock: clock.New(), meter: meter.ForPart("entry")}
	for _, o := range opts {
		o(e)
	}
	e.relay = relay.New(append(e.relaying, relay.WithMeter(e.meter))...)
	e.app = newApp(e.handle)
	return e
}

// Serve takes requests from the listener until Shutdown.
func (e *Server) Serve(l net.Listener) error {
	return e.app.Listener(&listener{Listener: l, watches: &e.watches},
		fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown takes no new connections and returns when all requests are answered, or
// with an error when ctx ends first.
func (e *Server) Shutdown(ctx context.Context) error {
	e.leaving.Store(true)
	return e.app.ShutdownWithContext(ctx)
}
