package flood

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/verbenad/adapt/extend"
)

// extendWait is more than a call may take.
const extendWait = 150 * time.Millisecond

func TestExtensionAnsweredWithoutEndIsNotTaken(t *testing.T) {
	for name, k := range kinds {
		t.Run(name+" drips", func(t *testing.T) {
			t.Parallel()
			prolong(t, &flood{text: k.text, piece: k.piece, pause: 2 * time.Millisecond})
		})
		t.Run(name+" at full speed", func(t *testing.T) {
			prolong(t, &flood{text: k.text, piece: k.piece})
		})
	}
}

// prolong tells the flood of a later lease and checks how that ends.
func prolong(t *testing.T, f *flood) {
	is := is.New(t)
	f.start(t)
	e, stop := extend.New()
	defer stop()
	e.SetAddress(f.address)
	memory, began := peak(), time.Now()
	took := e.Extend(context.Background(), 12, []string{"a"})
	span := time.Since(began)
	f.awaitClose(t)
	grown := memory()
	t.Logf("%v, %v, %d KiB sent, memory grew by %d KiB", took, span, f.sent.Load()>>10, grown>>10)
	is.True(!took)
	is.True(span < extendWait+floodSlack)
	is.True(f.sent.Load() < floodBytes)
	is.True(grown < floodMemory)
}
