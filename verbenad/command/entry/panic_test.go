package entry_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/verbenad/command/entry"
)

// panickingLocal panics in each request.
type panickingLocal struct{}

func (panickingLocal) Serve(context.Context, call.Request) call.Reply { panic("faulty") }

// TestPanicFailsOnlyItsRequest guards against a panic in one request that ends the process.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t, 1, entry.WithLocal(panickingLocal{}))
	d.publish(tableOwnedBy(d, []*daemon{d}))
	for range 2 {
		a, err := http.Get(d.url + "/catalogue/k")
		is.NoErr(err)
		is.Equal(a.StatusCode, http.StatusBadGateway)
		is.Equal(a.Header.Get(entry.HeaderOutcome), "unknown")
		is.True(a.Close)
		_ = a.Body.Close()
	}
}
