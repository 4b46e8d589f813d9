// Package admin serves the read-only endpoints of a daemon's admin server: health, readiness, status, the
// owner of a key, the configuration, the audit trail and metrics.
package admin

import (
	"expvar"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"

	"verbenabank/core/clock"
	"verbenabank/core/state/fleet"
	"verbenabank/core/state/snap"
	"verbenabank/verbenad/state/view"
)

// Audit returns the audit trail of the control group, oldest record first. It may ask another process and
// fails if none can be reached.
type Audit func() ([]fleet.Record, error)

// Admin holds the handlers of the endpoints. It is safe for concurrent use.
type Admin struct {
	instance  string
	zone      string
	clock     *clock.Clock
	snapshots *snap.Store
	view      func() *view.View
	audit     Audit
	stopping  func() bool
}

// Option sets one property of an Admin.
type Option func(*Admin)

// WithInstance sets the names of the instance and of its availability zone, which the status reports.
func WithInstance(name, zone string) Option {
	return func(a *Admin) { a.instance, a.zone = name, zone }
}

// WithState sets the sources of the daemon's state: the clock of the leases, the snapshots that traffic
// uses, and the view of the control state.
func WithState(c *clock.Clock, snapshots *snap.Store, view func() *view.View) Option {
	return func(a *Admin) { a.clock, a.snapshots, a.view = c, snapshots, view }
}

// WithAudit sets the source of the audit trail.
func WithAudit(f Audit) Option { return func(a *Admin) { a.audit = f } }

// WithStopping sets the function that reports whether the daemon is shutting down, so that it is not ready.
// By default it never is.
func WithStopping(stopping func() bool) Option { return func(a *Admin) { a.stopping = stopping } }

// New returns the handlers. WithState and WithAudit are required.
func New(opts ...Option) *Admin {
	a := &Admin{stopping: func() bool { return false }}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Register adds all endpoints to the router of the admin server.
func (a *Admin) Register(r fiber.Router) {
	r.Get("/health", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	a.RegisterReady(r)
	r.Get("/status", a.status)
	r.Get("/route", a.route)
	r.Get("/audit", a.auditTrail)
	r.Get("/rules", a.rules)
	r.Get("/debug/vars", adaptor.HTTPHandler(expvar.Handler()))
	r.Get("/metrics", func(c fiber.Ctx) error {
		metrics.WritePrometheus(c, false)
		return nil
	})
}

// RegisterReady adds only the readiness endpoint, for a server on a port of its own.
func (a *Admin) RegisterReady(r fiber.Router) { r.Get("/ready", a.ready) }

// ready responds with 200 if the daemon may serve callers, and with 503 while it shuts down or its rules
// are not valid.
func (a *Admin) ready(c fiber.Ctx) error {
	if a.stopping() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready: the daemon is about to stop\n")
	}
	if a.snapshots.Load().RulesValid(a.clock.Now()) {
		return c.SendString("ready\n")
	}
	return c.Status(fiber.StatusServiceUnavailable).SendString("not ready: the daemon does not know the configuration in force; is a quorum of control replicas up and reachable?\n")
}
