package target

import (
	"encoding/json"

	"github.com/gofiber/fiber/v3"

	"verbenabank/core/clock"
)

// LeasePath is the HTTP path at which the local daemon extends the leases of running requests.
const LeasePath = "/verbena/lease"

// handleExtend passes a lease extension to the control goroutine. The new end is an absolute instant
// that is compared with the clock when a request commits, so an extension that is read late cannot
// let a request commit after its lease has expired.
func (t *Target) handleExtend(c fiber.Ctx) error {
	var wire struct {
		Until    clock.Millis `json:"until"`
		Requests []string     `json:"requests"`
	}
	if err := json.Unmarshal(c.Body(), &wire); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	t.sendEvent(leasesExtended{requestIDs: wire.Requests, until: wire.Until})
	return c.SendStatus(fiber.StatusNoContent)
}
