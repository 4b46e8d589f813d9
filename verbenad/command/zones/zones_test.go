package zones

import (
	"context"
	"errors"
	"testing"

	"github.com/gofiber/fiber/v3"
	"github.com/matryer/is"

	"verbenabank/core/state/fleet"
)

// TestStatusesOfOrders guards against statuses by which operators give up a proper order, or repeat one that can never
// be accepted.
func TestStatusesOfOrders(t *testing.T) {
	for name, c := range map[string]struct {
		zone    string
		verdict fleet.Verdict
		err     error
		status  int
	}{
		"accepted":   {"z", fleet.Accepted{}, nil, fiber.StatusOK},
		"repeated":   {"z", fleet.Repeated{}, nil, fiber.StatusOK},
		"overtaken":  {"z", fleet.NewOlder(7), nil, fiber.StatusServiceUnavailable},
		"undecided":  {"z", nil, errors.New("no leader"), fiber.StatusServiceUnavailable},
		"unknown":    {"y", fleet.NewInvalid("no instance"), nil, fiber.StatusNotFound},
		"impossible": {"Y!", nil, nil, fiber.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, problem := Handle(func(context.Context, string, bool) (fleet.Verdict, error) { return c.verdict, c.err }, c.zone, true)
			is.Equal(status, c.status)
			is.Equal(problem == "", status == fiber.StatusOK)
		})
	}
}
