// Package admin answers questions about a daemon over HTTP: health, readiness,
// status, routes, the audit trail and metrics. It changes nothing.
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

// Audit returns the audit trail of the control group.
type Audit func() ([]fleet.Record, error)

// Admin answers questions. It is safe for concurrent use.
type Admin struct {
	instance string
	zone     string
	clock    *clock.Clock
	cell     *snap.Store
	view     func() *view.View
	audit    Audit
	leaving  func() bool
}

// Option sets one property of an Admin.
type Option func(*Admin)

// WithInstance sets the names of the instance and its availability zone.
func WithInstance(name, zone string) Option {
	return func(a *Admin) { a.instance, a.zone = name, zone }
}

// WithState sets where the state of the daemon is read.
func WithState(c *clock.Clock, cell *snap.Store, view func() *view.View) Option {
	return func(a *Admin) { a.clock, a.cell, a.view = c, cell, view }
}

// WithAudit sets where the audit trail is read.
func WithAudit(f Audit) Option { return func(a *Admin) { a.audit = f } }

// WithStopping sets what tells whether the daemon is about to stop.
func WithStopping(f func() bool) Option { return func(a *Admin) { a.leaving = f } }

// New returns an admin.
func New(opts ...Option) *Admin {
	a := &Admin{leaving: func() bool { return false }}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Register adds the queries to the admin server.
func (a *Admin) Register(r fiber.Router) {
	r.Get("/health", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	a.RegisterReady(r)
	r.Get("/status", a.status)
	r.Get("/route", a.route)
	r.Get("/audit", a.trail)
	r.Get("/rules", a.rules)
	r.Get("/debug/vars", adaptor.HTTPHandler(expvar.Handler()))
	r.Get("/metrics", func(c fiber.Ctx) error {
		metrics.WritePrometheus(c, false)
		return nil
	})
}

// RegisterReady adds only the query for readiness.
func (a *Admin) RegisterReady(r fiber.Router) { r.Get("/ready", a.ready) }

// ready answers 200 if the daemon may serve callers.
func (a *Admin) ready(c fiber.Ctx) error {
	if a.leaving() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready: the daemon is about to stop\n")
	}
	if a.cell.Load().RulesValid(a.clock.Now()) {
		return c.SendString("ready\n")
	}
	return c.Status(fiber.StatusServiceUnavailable).SendString("not ready: the daemon does not know the configuration in force; is a quorum of control replicas up and reachable?\n")
}
