package serve

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/gofiber/fiber/v3"
	"github.com/matryer/is"
)

// TestNamesOutliveTheirRequest guards against names of targets that change in memory: a later request reuses
// the buffer that a path parameter or a header field points into (review case 3: the daemon took its own target
// for another one and gave it up).
func TestNamesOutliveTheirRequest(t *testing.T) {
	i := is.New(t)
	const requests = 200
	var mu sync.Mutex
	var params, fields []string
	d := newDaemon(t, WithAdminRoutes(func(r fiber.Router, _ AdminAPI) {
		r.Put("/named/:id", func(c fiber.Ctx) error {
			mu.Lock()
			defer mu.Unlock()
			params, fields = append(params, c.Params("id")), append(fields, c.Get("X-Name"))
			return c.SendStatus(fiber.StatusOK)
		})
	}))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	for n := range requests {
		r, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/named/i-%04d", d.adminPort.Addr(), n), http.NoBody)
		i.NoErr(err)
		r.Header.Set("X-Name", fmt.Sprintf("f-%04d", n))
		a, err := http.DefaultClient.Do(r)
		i.NoErr(err)
		_ = a.Body.Close()
	}
	cancel()
	i.NoErr(<-ended)
	for n := range requests {
		i.Equal(params[n], fmt.Sprintf("i-%04d", n))
		i.Equal(fields[n], fmt.Sprintf("f-%04d", n))
	}
}
