package flood

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/hold"
	"verbenabank/verbenad/adapt/grants"
)

// grantDialect is a dialect without content: 200 means done, any other status a later epoch.
type grantDialect struct{}

func (grantDialect) Grant(hold.Grant) grants.Message {
	return grants.NewMessage("/grant", []byte("{}"))
}

func (grantDialect) Release(hold.Release) grants.Message {
	return grants.NewMessage("/release", []byte("{}"))
}

func (grantDialect) Result(status int, field func(name string) string) hold.Result {
	if status == http.StatusOK {
		return hold.NewDone(field("Handover"))
	}
	return hold.Stale{}
}

func (grantDialect) ProcessName(field func(name string) string) string { return field("Name") }

// targetName is the name of the process that gets the calls.
const targetName = "target-1"

// Time-outs of the calls.
const (
	grantTimeout   = 700 * time.Millisecond
	releaseTimeout = 2500 * time.Millisecond
)

// TestCallsWithEndlessResponsesAreUnanswered checks that the outcome of a call stays unknown if its
// response is incomplete: the call may have taken effect.
func TestCallsWithEndlessResponsesAreUnanswered(t *testing.T) {
	for name, k := range kinds {
		t.Run(name+" slowly", func(t *testing.T) {
			t.Parallel()
			checkCall(t, &endlessTarget{prefix: k.prefix, piece: k.piece, pause: 2 * time.Millisecond, name: targetName}, hold.Grant{}, hold.Unanswered{}, grantTimeout)
		})
		t.Run(name+" at full speed", func(t *testing.T) {
			checkCall(t, &endlessTarget{prefix: k.prefix, piece: k.piece, name: targetName}, hold.Grant{}, hold.Unanswered{}, grantTimeout)
		})
	}
	t.Run("release", func(t *testing.T) {
		t.Parallel()
		k := kinds["body of length"]
		checkCall(t, &endlessTarget{prefix: k.prefix, piece: k.piece, pause: 50 * time.Millisecond, name: targetName}, hold.Release{}, hold.Unanswered{}, releaseTimeout)
	})
}

// TestCallsWaitForTheEndOfNoHealthResponse checks that no call is sent on a connection whose process answers the
// question for its name without end.
func TestCallsWaitForTheEndOfNoHealthResponse(t *testing.T) {
	for name, k := range kinds {
		t.Run(name, func(t *testing.T) {
			checkCall(t, &endlessTarget{prefix: k.prefix, piece: k.piece}, hold.Grant{}, hold.Unreached{}, grantTimeout)
		})
	}
}

// checkCall sends a call to the endless target and checks that it ends in time, with a result.
func checkCall(t *testing.T, f *endlessTarget, c hold.Call, want hold.Result, timeout time.Duration) {
	is := is.New(t)
	f.start(t)
	client, stop := grants.New(grants.WithDialect(grantDialect{}))
	defer stop()
	client.SetProcess(grants.NewProcess(targetName, f.address, "s"))
	got := make(chan hold.Result, 2)
	memory, began := measureHeapGrowth(), time.Now()
	client.SendCall(c, func(r hold.Result) { got <- r })
	var r hold.Result
	select {
	case r = <-got:
	case <-time.After(timeout + floodSlack):
		t.Fatal("the call does not end")
	}
	took := time.Since(began)
	f.awaitClose(t)
	grown := memory()
	t.Logf("%T, %v, %d KiB sent, memory grew by %d KiB", r, took, f.sent.Load()>>10, grown>>10)
	is.Equal(r, want)
	is.True(f.sent.Load() < maxSentBytes)
	// The growth of memory is only logged here.
}

func (grantDialect) ColdTime(func(name string) string) (clock.Millis, bool) { return 0, false }
