// Package entry is the HTTP front end for callers. It parses requests, routes them through a relay
// and writes the responses. Each response says in header fields whether the target answered, the
// request was refused and did not run, or its outcome is unknown.
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
	"verbenabank/verbenad/command/memory"
	"verbenabank/verbenad/command/meter"
	"verbenabank/verbenad/command/relay"
)

const (
	// MaxHeaderBytes is the largest size of a request line with its header fields.
	MaxHeaderBytes = 8 << 10
	// MaxConnections is the largest number of concurrent connections of callers.
	MaxConnections = 4 << 10
)

// Server serves requests of callers over HTTP/1.1. It is safe for concurrent use.
type Server struct {
	clock        *clock.Clock
	relay        *relay.Relay
	relayOptions []relay.Option
	instance     string
	meter        *meter.Meter
	memory       *memory.Budget
	app          *fiber.App
	watchers     conc.WaitGroup
	shuttingDown atomic.Bool
}

// Option configures a Server.
type Option func(*Server)

// WithClock sets the clock of deadlines and measurements; the default is a new clock.
func WithClock(c *clock.Clock) Option {
	return func(e *Server) { e.clock = c; e.addRelayOption(relay.WithClock(c)) }
}

// WithStore sets the store of the current snapshot. It is required.
func WithStore(s *snap.Store) Option { return func(e *Server) { e.addRelayOption(relay.WithStore(s)) } }

// WithLocal sets the handler of requests for the target on this instance.
func WithLocal(l relay.Local) Option { return func(e *Server) { e.addRelayOption(relay.WithLocal(l)) } }

// WithRemote sets the client that forwards requests to other daemons.
func WithRemote(r relay.Remote) Option {
	return func(e *Server) { e.addRelayOption(relay.WithRemote(r)) }
}

// WithRetry sets the retry policy; the default is that of the relay.
func WithRetry(p retry.Policy) Option {
	return func(e *Server) { e.addRelayOption(relay.WithRetry(p)) }
}

// WithInstance sets the names of the instance and of its availability zone.
func WithInstance(name, zone string) Option {
	return func(e *Server) { e.instance = name; e.addRelayOption(relay.WithZone(zone)) }
}

// WithRelayOptions adds options of the relay.
func WithRelayOptions(opts ...relay.Option) Option {
	return func(e *Server) { e.relayOptions = append(e.relayOptions, opts...) }
}

// WithMemory sets the budget for what the server holds for callers, by default an unlimited one.
func WithMemory(b *memory.Budget) Option { return func(e *Server) { e.memory = b } }

func (e *Server) addRelayOption(o relay.Option) { e.relayOptions = append(e.relayOptions, o) }

// New returns a server that accepts nothing until Serve is called.
func New(opts ...Option) *Server {
	e := &Server{clock: clock.New(), meter: meter.ForPart("entry"), memory: memory.Unlimited()}
	for _, o := range opts {
		o(e)
	}
	e.relay = relay.New(append(e.relayOptions, relay.WithMeter(e.meter))...)
	e.app = newApp(e.handle)
	return e
}

// Serve accepts connections from the listener and blocks until Shutdown.
func (e *Server) Serve(l net.Listener) error {
	return e.app.Listener(&listener{Listener: l, watchers: &e.watchers, memory: e.memory, meter: e.meter},
		fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown is a graceful shutdown: it accepts no new connections, closes each open one after its
// current response, and returns when all requests are answered, or with an error if ctx ends first.
func (e *Server) Shutdown(ctx context.Context) error {
	e.shuttingDown.Store(true)
	return e.app.ShutdownWithContext(ctx)
}
