package stats

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
)

// TestServiceTimesAreAveragedByRequests has reports without requests, and with few and many, with and without a window.
func TestServiceTimesAreAveragedByRequests(t *testing.T) {
	is := is.New(t)
	plain, co := New(0), New(0, WithCapacityWindow(CapacityWindow))
	for n, c := range []struct{ requests, reported, least, most float64 }{
		{0, 500, 500, 500}, {10, 100, 100, 100}, {0, 300, 100, 100}, {1, 1000, 101, 400}, {100, 50, 51, 70},
	} {
		r := load.NewReport(nil, nil).WithCells([]load.Cell{load.NewCell(0, uint64(c.requests))}, load.NewTargetStats(5, c.reported, 0))
		plain.RecordCells(1, "s", nil, r, clock.Millis(n+1)*500)
		co.RecordCells(1, "s", nil, r, clock.Millis(n+1)*500)
		is.Equal(plain.View().TargetStats(1).MeanTime(), c.reported)
		got := co.View().TargetStats(1).MeanTime()
		is.True(c.least <= got && got <= c.most)
	}
}
