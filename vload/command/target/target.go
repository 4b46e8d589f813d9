// Package target runs a stand-in target, a simulated back end for load tests. It registers with the local
// daemon, serves requests with limited concurrency, and records each execution in a ledger.
package target

import (
	"crypto/rand"
	"net"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"verbenabank/core/clock"
	"verbenabank/vload/adapt/jsonl"
	"verbenabank/vload/query/health"
	"verbenabank/vload/state/server"
)

const bodyLimit = 64 << 20 // bytes

// Target is one running stand-in target. One control goroutine owns the admission state; requests are
// served on goroutines of the HTTP server.
type Target struct {
	settings        server.Settings
	clock           *clock.Clock
	log             *logrus.Entry
	boot            string
	ledger          *jsonl.Writer
	app             *fiber.App
	listener        net.Listener
	events          chan event
	deregistrations chan chan struct{}
	stopped         chan struct{}
	status          atomic.Pointer[server.Status]
	lastSequence    atomic.Uint64
	goroutines      conc.WaitGroup
}

// Option sets one property of a Target.
type Option func(*Target)

// WithSettings sets the addresses, the service and the behavior of the target. It is required.
func WithSettings(s server.Settings) Option { return func(t *Target) { t.settings = s } }

// WithLog sets the logger; the default is the standard logger of logrus.
func WithLog(l *logrus.Logger) Option {
	return func(t *Target) { t.log = l.WithField("prefix", "target") }
}

// New returns a target that listens and registers with the local daemon, if its settings name one. The
// second result stops the target without deregistering it.
func New(opts ...Option) (*Target, func(), error) {
	t := &Target{
		clock: clock.New(), log: logrus.WithField("prefix", "target"), boot: rand.Text(),
		events: make(chan event), deregistrations: make(chan chan struct{}), stopped: make(chan struct{}),
	}
	for _, o := range opts {
		o(t)
	}
	status := server.NewStatus(t.clock.Now())
	t.status.Store(&status)
	w, closeLedger, err := jsonl.New(t.settings.Ledger(), t.boot, t.settings.Service(), t.settings.Instance())
	if err != nil {
		return nil, nil, err
	}
	t.ledger = w
	t.listener, err = listen(t.settings.Listen(), t.settings.Behavior())
	if err != nil {
		closeLedger()
		return nil, nil, err
	}
	t.app = fiber.New(fiber.Config{BodyLimit: bodyLimit, StreamRequestBody: true})
	health.Routes(t.app, t.settings.Behavior(), t.Status)
	t.app.Post(TunePath, t.handleTune)
	t.app.Put(LeasePath, t.handleExtend)
	t.app.All("/*", t.handleRequest)
	t.goroutines.Go(t.control)
	if t.settings.Admin() != "" {
		t.goroutines.Go(t.announce)
	}
	return t, func() { t.stop(closeLedger) }, nil
}

// Status returns the latest status that the control goroutine published.
func (t *Target) Status() server.Status { return *t.status.Load() }

// Serve accepts connections until the target is shut down or stopped.
func (t *Target) Serve() error {
	err := t.app.Listener(t.listener, fiber.ListenConfig{DisableStartupMessage: true})
	if err != nil {
		return fail("serve", NotServing, err)
	}
	return nil
}

func (t *Target) stop(closeLedger func()) {
	if err := t.app.Shutdown(); err != nil {
		t.log.WithError(err).Warn("failed to shut down the HTTP server")
	}
	close(t.stopped)
	t.goroutines.Wait()
	closeLedger()
}
