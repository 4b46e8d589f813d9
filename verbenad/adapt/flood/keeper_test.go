package flood

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/command/hold"
	"verbenabank/verbenad/adapt/grants"
)

// orders is a dialect of one word.
type orders struct{}

func (orders) Grant(hold.Grant) grants.Message { return grants.NewMessage("/grant", []byte("{}")) }

func (orders) Release(hold.Release) grants.Message {
	return grants.NewMessage("/release", []byte("{}"))
}

func (orders) Result(status int, field func(name string) string) hold.Result {
	if status == http.StatusOK {
		return hold.NewDone(field("Handover"))
	}
	return hold.Stale{}
}

const (
	grantWait   = 700 * time.Millisecond
	releaseWait = 2500 * time.Millisecond
)

// TestOrdersAnsweredWithoutEndMayTakeEffect wants no answer to be taken for whole that is not.
func TestOrdersAnsweredWithoutEndMayTakeEffect(t *testing.T) {
	for name, k := range kinds {
		t.Run(name+" drips", func(t *testing.T) {
			t.Parallel()
			order(t, &flood{text: k.text, piece: k.piece, pause: 2 * time.Millisecond}, hold.Grant{}, grantWait)
		})
		t.Run(name+" at full speed", func(t *testing.T) {
			order(t, &flood{text: k.text, piece: k.piece}, hold.Grant{}, grantWait)
		})
	}
	t.Run("release", func(t *testing.T) {
		t.Parallel()
		k := kinds["body of length"]
		order(t, &flood{text: k.text, piece: k.piece, pause: 50 * time.Millisecond}, hold.Release{}, releaseWait)
	})
}

// order gives the flood an order and checks how it ends.
func order(t *testing.T, f *flood, o hold.Call, wait time.Duration) {
	is := is.New(t)
	f.start(t)
	k, stop := grants.New(grants.WithDialect(orders{}))
	defer stop()
	k.SetAddress(f.address)
	got := make(chan hold.Result, 2)
	memory, began := peak(), time.Now()
	k.SendCall(o, func(r hold.Result) { got <- r })
	var r hold.Result
	select {
	case r = <-got:
	case <-time.After(wait + floodSlack):
		t.Fatal("the order does not end")
	}
	took := time.Since(began)
	f.awaitClose(t)
	grown := memory()
	t.Logf("%T, %v, %d KiB sent, memory grew by %d KiB", r, took, f.sent.Load()>>10, grown>>10)
	is.Equal(r, hold.Result(hold.Unanswered{}))
	is.True(f.sent.Load() < floodBytes)
	// MEM
}
