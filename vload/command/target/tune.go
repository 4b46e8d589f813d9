package target

import (
	"encoding/json"

	"github.com/gofiber/fiber/v3"

	"verbenabank/vload/state/server"
)

// TunePath is the HTTP path at which an experiment slows a target down or makes its health and load
// reports wrong.
const TunePath = "/_tune"

// Values of the field "lie" in the body of a tuning. An empty value means truthful reports.
const (
	claimHealthy   = "well"
	claimUnhealthy = "ill"
)

// EncodeTuning returns the body of a request to TunePath.
func EncodeTuning(t server.Tuning) ([]byte, error) {
	claim := ""
	switch t.ReportMode().(type) {
	case server.Truthful:
	case server.AlwaysHealthy:
		claim = claimHealthy
	case server.AlwaysUnhealthy:
		claim = claimUnhealthy
	}
	return json.Marshal(struct {
		Factor float64 `json:"factor"`
		Lie    string  `json:"lie"`
	}{t.Slowdown(), claim})
}

// handleTune applies a tuning. A slowdown below 1 counts as 1.
func (t *Target) handleTune(c fiber.Ctx) error {
	var wire struct {
		Factor float64 `json:"factor"`
		Lie    string  `json:"lie"`
	}
	if err := json.Unmarshal(c.Body(), &wire); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	var mode server.ReportMode = server.Truthful{}
	switch wire.Lie {
	case claimHealthy:
		mode = server.AlwaysHealthy{}
	case claimUnhealthy:
		mode = server.AlwaysUnhealthy{}
	}
	t.sendEvent(tuningChanged{tuning: server.NewTuning(max(wire.Factor, 1), mode)})
	return c.SendStatus(fiber.StatusNoContent)
}
