package flood

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/verbenad/adapt/extend"
)

// extendTimeout is the time-out of an extension.
const extendTimeout = 150 * time.Millisecond

func TestExtensionWithEndlessResponseFails(t *testing.T) {
	for name, k := range kinds {
		t.Run(name+" slowly", func(t *testing.T) {
			t.Parallel()
			checkExtension(t, &endlessTarget{prefix: k.prefix, piece: k.piece, pause: 2 * time.Millisecond})
		})
		t.Run(name+" at full speed", func(t *testing.T) {
			checkExtension(t, &endlessTarget{prefix: k.prefix, piece: k.piece})
		})
	}
}

// checkExtension sends a lease extension to the endless target and checks that it fails in time and with
// bounded memory.
func checkExtension(t *testing.T, f *endlessTarget) {
	is := is.New(t)
	f.start(t)
	e, stop := extend.New()
	defer stop()
	e.SetAddress(f.address)
	memory, began := measureHeapGrowth(), time.Now()
	accepted := e.Extend(context.Background(), 12, []string{"a"})
	took := time.Since(began)
	f.awaitClose(t)
	grown := memory()
	t.Logf("%v, %v, %d KiB sent, memory grew by %d KiB", accepted, took, f.sent.Load()>>10, grown>>10)
	is.True(!accepted)
	is.True(took < extendTimeout+floodSlack)
	is.True(f.sent.Load() < maxSentBytes)
	is.True(grown < maxHeapGrowth)
}
