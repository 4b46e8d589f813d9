package flight_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/table"
	"verbenabank/verbenad/command/flight"
)

func TestBarrierWaitsOnlyForEarlierRequests(t *testing.T) {
	is := is.New(t)
	tr := flight.New()
	first, second, other := tr.Enter("s", 1), tr.Enter("s", 1), tr.Enter("s", 2)
	notified := 0
	tr.OnCurrentDrained("s", func(s table.Shard) bool { return s == 1 }, func() { notified++ })
	later := tr.Enter("s", 1)
	first()
	other()
	later()
	is.Equal(notified, 0)
	second()
	is.Equal(notified, 1)
	tr.OnCurrentDrained("s", func(table.Shard) bool { return true }, func() { notified++ })
	is.Equal(notified, 2) // nothing is in flight
}

func TestQuiesceTimeoutDoesNotShortenBarrier(t *testing.T) {
	is := is.New(t)
	tr := flight.New()
	leave := tr.Enter("s", 1)
	notified := make(chan struct{})
	tr.OnCurrentDrained("s", func(s table.Shard) bool { return s == 1 }, func() {
		tr.OnQuiesced("s", table.FirstOverride, 0, 1, func() { close(notified) })
	})
	select {
	case <-notified:
		t.Fatal("notified while the request is in flight")
	case <-time.After(30 * time.Millisecond):
	}
	leave()
	<-notified
	is.Equal(tr.Total(), 0)
}
