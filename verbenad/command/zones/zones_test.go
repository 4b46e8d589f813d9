package zones

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/gofiber/fiber/v3"
	"github.com/matryer/is"

	"verbenabank/core/state/fleet"
)

// TestStatusesOfOrders guards against statuses by which operators give up a proper order, or repeat one that can never
// be accepted.
func TestStatusesOfOrders(t *testing.T) {
	is, app := is.New(t), fiber.New()
	var verdict fleet.Verdict
	var failure error
	New(func(context.Context, string, bool) (fleet.Verdict, error) { return verdict, failure }).Register(app)
	for _, c := range []struct {
		zone    string
		verdict fleet.Verdict
		err     error
		status  int
	}{
		{"z", fleet.Accepted{}, nil, 200}, {"z-9", fleet.Repeated{}, nil, 200}, {"z", fleet.NewOlder(7), nil, 503},
		{"z", nil, errors.New("no leader"), 503}, {"y", fleet.NewInvalid("no instance"), nil, 404}, {"Y", nil, nil, 400}, {"9", nil, nil, 400},
	} {
		verdict, failure = c.verdict, c.err
		for _, method := range []string{http.MethodPut, http.MethodDelete} {
			r, _ := http.NewRequest(method, "http://daemon/zones/"+c.zone+"/drain", nil)
			response, err := app.Test(r)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
			_ = response.Body.Close()
		}
	}
}
