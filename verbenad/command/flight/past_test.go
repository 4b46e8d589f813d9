package flight_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/table"
	"verbenabank/verbenad/command/flight"
)

func TestPastWaitsForWhatWasInside(t *testing.T) {
	is := is.New(t)
	f := flight.New()
	first, second, other := f.Enter("s", 1), f.Enter("s", 1), f.Enter("s", 2)
	told := 0
	f.OnCurrentDrained("s", func(s table.Shard) bool { return s == 1 }, func() { told++ })
	later := f.Enter("s", 1)
	first()
	other()
	later()
	is.Equal(told, 0)
	second()
	is.Equal(told, 1)
	f.OnCurrentDrained("s", func(table.Shard) bool { return true }, func() { told++ })
	is.Equal(told, 2) // nothing is inside
}

func TestSpanOfQuietDoesNotCutPastShort(t *testing.T) {
	is := is.New(t)
	f := flight.New()
	leave := f.Enter("s", 1)
	told := make(chan struct{})
	f.OnCurrentDrained("s", func(s table.Shard) bool { return s == 1 }, func() {
		f.OnQuiesced("s", table.FirstOverride, 0, 1, func() { close(told) })
	})
	select {
	case <-told:
		t.Fatal("told while the request is in flight")
	case <-time.After(30 * time.Millisecond):
	}
	leave()
	<-told
	is.Equal(f.Total(), 0)
}
