// Package health serves the health and load endpoints of a stand-in target.
package health

import (
	"github.com/gofiber/fiber/v3"

	"verbenabank/vload/state/server"
)

// Routes registers GET /health and GET /load in app. Both report the status that the
// function returns, falsified as its report mode says.
func Routes(app *fiber.App, behavior server.Behavior, status func() server.Status) {
	app.Get("/health", func(c fiber.Ctx) error { return handleHealth(c, status()) })
	app.Get("/load", func(c fiber.Ctx) error { return handleLoad(c, behavior, status()) })
}

func handleHealth(c fiber.Ctx, s server.Status) error {
	healthy := !s.Draining()
	switch s.ReportMode().(type) {
	case server.Truthful:
	case server.AlwaysHealthy:
		healthy = true
	case server.AlwaysUnhealthy:
		healthy = false
	}
	if !healthy {
		c.Status(fiber.StatusServiceUnavailable)
	}
	return c.JSON(struct {
		Healthy bool `json:"healthy"`
	}{healthy})
}

func handleLoad(c fiber.Ctx, b server.Behavior, s server.Status) error {
	l := s.Load()
	switch s.ReportMode().(type) {
	case server.Truthful:
	case server.AlwaysHealthy:
		l = server.NewLoad(0, 0)
	case server.AlwaysUnhealthy:
		l = server.NewLoad(b.Slots(), b.Backlog())
	}
	return c.JSON(struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
		Slots   int `json:"slots"`
	}{l.Running(), l.Waiting(), b.Slots()})
}
