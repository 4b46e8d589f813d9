package target

import (
	"encoding/json"

	"github.com/gofiber/fiber/v3"

	"verbenabank/core/clock"
)

// LeasePath is where the daemon beside extends the leases of running requests.
const LeasePath = "/verbena/lease"

// extend takes an extension. Its instant is compared with the clock when a request takes
// effect, however late it is read.
func (t *Target) extend(c fiber.Ctx) error {
	var wire struct {
		Until    clock.Millis `json:"until"`
		Requests []string     `json:"requests"`
	}
	if err := json.Unmarshal(c.Body(), &wire); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	t.tell(extended{handles: wire.Requests, until: wire.Until})
	return c.SendStatus(fiber.StatusNoContent)
}
