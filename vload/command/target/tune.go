package target

import (
	"encoding/json"

	"github.com/gofiber/fiber/v3"

	"verbenabank/vload/state/server"
)

// TunePath is where an experiment changes the behavior of a target.
const TunePath = "/_tune"

// Values of the lie field of a tuning.
const (
	lieWell = "well"
	lieIll  = "ill"
)

// EncodeTuning returns the body of a request to TunePath.
func EncodeTuning(t server.Tuning) ([]byte, error) {
	lie := ""
	switch t.ReportMode().(type) {
	case server.Truthful:
	case server.AlwaysHealthy:
		lie = lieWell
	case server.AlwaysUnhealthy:
		lie = lieIll
	}
	return json.Marshal(struct {
		Factor float64 `json:"factor"`
		Lie    string  `json:"lie"`
	}{t.Slowdown(), lie})
}

func (t *Target) tune(c fiber.Ctx) error {
	var wire struct {
		Factor float64 `json:"factor"`
		Lie    string  `json:"lie"`
	}
	if err := json.Unmarshal(c.Body(), &wire); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	var honesty server.ReportMode = server.Truthful{}
	switch wire.Lie {
	case lieWell:
		honesty = server.AlwaysHealthy{}
	case lieIll:
		honesty = server.AlwaysUnhealthy{}
	}
	t.tell(tuned{tuning: server.NewTuning(max(wire.Factor, 1), honesty)})
	return c.SendStatus(fiber.StatusNoContent)
}
