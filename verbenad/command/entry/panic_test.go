package entry_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/state/call"
	"verbenabank/verbenad/command/entry"
)

// faulty serves requests and panics.
type faulty struct{}

func (faulty) Serve(context.Context, call.Request) call.Reply { panic("faulty") }

// TestPanicOfARequestEndsIt guards against a process that ends with the fault of one request.
func TestPanicOfARequestEndsIt(t *testing.T) {
	is := is.New(t)
	d := start(t, 1, entry.WithLocal(faulty{}))
	d.publish(ownedBy(d, []*daemon{d}))
	for range 2 {
		a, err := http.Get(d.url + "/catalogue/k")
		is.NoErr(err)
		is.Equal(a.StatusCode, http.StatusBadGateway)
		is.Equal(a.Header.Get(entry.HeaderOutcome), "unknown")
		is.True(a.Close)
		_ = a.Body.Close()
	}
}
