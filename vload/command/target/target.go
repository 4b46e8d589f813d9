// Package target is a stand-in for a server of the users: it announces itself to
// the daemon beside it, serves requests in slots, and writes down each execution.
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

// Target is one running stand-in target.
type Target struct {
	settings  server.Settings
	clock     *clock.Clock
	log       *logrus.Entry
	boot      string
	ledger    *jsonl.Writer
	app       *fiber.App
	listener  net.Listener
	events    chan event
	leaves    chan chan struct{}
	stopped   chan struct{}
	view      atomic.Pointer[server.Status]
	sequences atomic.Uint64
	group     conc.WaitGroup
}

// Option sets one property of a Target.
type Option func(*Target)

// WithSettings sets what the target is.
func WithSettings(s server.Settings) Option { return func(t *Target) { t.settings = s } }

// WithLog sets where the target logs.
func WithLog(l *logrus.Logger) Option {
	return func(t *Target) { t.log = l.WithField("prefix", "target") }
}

// New returns a target that listens and announces itself. The second result
// stops it without a leave.
func New(opts ...Option) (*Target, func(), error) {
	t := &Target{
		clock: clock.New(), log: logrus.WithField("prefix", "target"), boot: rand.Text(),
		events: make(chan event), leaves: make(chan chan struct{}), stopped: make(chan struct{}),
	}
	for _, o := range opts {
		o(t)
	}
	view := server.NewStatus(t.clock.Now())
	t.view.Store(&view)
	b, closeLedger, err := jsonl.New(t.settings.Ledger(), t.boot, t.settings.Service(), t.settings.Instance())
	if err != nil {
		return nil, nil, err
	}
	t.ledger = b
	t.listener, err = listen(t.settings.Listen(), t.settings.Behavior())
	if err != nil {
		closeLedger()
		return nil, nil, err
	}
	t.app = fiber.New(fiber.Config{BodyLimit: bodyLimit, StreamRequestBody: true})
	health.Routes(t.app, t.settings.Behavior(), t.Status)
	t.app.Post(TunePath, t.tune)
	t.app.Put(LeasePath, t.extend)
	t.app.All("/*", t.handle)
	t.group.Go(t.control)
	if t.settings.Admin() != "" {
		t.group.Go(t.announce)
	}
	return t, func() { t.stop(closeLedger) }, nil
}

// Status returns what the target shows of itself.
func (t *Target) Status() server.Status { return *t.view.Load() }

// Serve takes requests until the target leaves or stops.
func (t *Target) Serve() error {
	err := t.app.Listener(t.listener, fiber.ListenConfig{DisableStartupMessage: true})
	if err != nil {
		return fail("serve", NotServing, err)
	}
	return nil
}

func (t *Target) stop(closeLedger func()) {
	if err := t.app.Shutdown(); err != nil {
		t.log.WithError(err).Warn("stop of the server failed")
	}
	close(t.stopped)
	t.group.Wait()
	closeLedger()
}
