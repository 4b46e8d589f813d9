// Package show answers health and load requests of a stand-in target.
package health

import (
	"github.com/gofiber/fiber/v3"

	"verbenabank/vload/state/server"
)

// Routes adds GET /health and GET /load to app. The reports are made from view,
// and are no truer than its honesty.
func Routes(app *fiber.App, behavior server.Behavior, view func() server.Status) {
	app.Get("/health", func(c fiber.Ctx) error { return health(c, view()) })
	app.Get("/load", func(c fiber.Ctx) error { return load(c, behavior, view()) })
}

func health(c fiber.Ctx, v server.Status) error {
	well := !v.Draining()
	switch v.ReportMode().(type) {
	case server.Truthful:
	case server.AlwaysHealthy:
		well = true
	case server.AlwaysUnhealthy:
		well = false
	}
	if !well {
		c.Status(fiber.StatusServiceUnavailable)
	}
	return c.JSON(struct {
		Healthy bool `json:"healthy"`
	}{well})
}

func load(c fiber.Ctx, b server.Behavior, v server.Status) error {
	l := v.Load()
	switch v.ReportMode().(type) {
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
