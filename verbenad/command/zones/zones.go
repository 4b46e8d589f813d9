// Package zones receives the calls of operators that drain an availability zone or end its drain.
package zones

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v3"

	"verbenabank/core/state/fleet"
	"verbenabank/core/state/table"
)

// timeout limits a call. It is short, since operators repeat the call at another instance.
const timeout = 3 * time.Second

// Set drains a zone or ends its drain. It returns after the control group has decided, or with an error.
type Set func(ctx context.Context, zone string, drained bool) (fleet.Verdict, error)

// Receiver handles the calls. It is safe for concurrent use.
type Receiver struct{ set Set }

// New returns a receiver that passes valid calls on to set.
func New(set Set) *Receiver { return &Receiver{set: set} }

// Register adds the endpoints to the admin server.
func (z *Receiver) Register(r fiber.Router) {
	r.Put("/zones/:zone/drain", func(c fiber.Ctx) error { return z.respond(c, true) })
	r.Delete("/zones/:zone/drain", func(c fiber.Ctx) error { return z.respond(c, false) })
}

func (z *Receiver) respond(c fiber.Ctx, drained bool) error {
	zone := c.Params("zone")
	status, problem := Handle(z.set, zone, drained)
	if problem != "" {
		return c.Status(status).JSON(struct {
			Error string `json:"error"`
		}{Error: problem})
	}
	return c.JSON(struct {
		Zone    string `json:"zone"`
		Drained bool   `json:"drained"`
	}{Zone: zone, Drained: drained})
}

// Handle carries out a call. It returns the HTTP status and, if the call failed, what the operator can do. Only a zone
// that can't exist or that no instance was ever in is refused for good; all other failures are worth another try.
func Handle(set Set, zone string, drained bool) (status int, problem string) {
	if !table.IsZoneName(zone) {
		return fiber.StatusBadRequest, "the zone must be a name of at most 63 lower-case letters, digits and hyphens that begins with a letter"
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	v, err := set(ctx, zone, drained)
	if err != nil {
		return fiber.StatusServiceUnavailable, err.Error()
	}
	switch v := v.(type) {
	case fleet.Accepted, fleet.Repeated:
		return fiber.StatusOK, ""
	case fleet.Invalid:
		return fiber.StatusNotFound, v.Problem()
	case fleet.Older, fleet.Conflict:
	}
	return fiber.StatusServiceUnavailable, "another order for the zone was accepted meanwhile; send the call again if it still holds"
}
