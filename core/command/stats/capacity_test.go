package stats

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/state/load"
	"verbenabank/core/state/table"
)

// meanTimes returns the service time in the view after each report of a request count and a service time, 500 ms apart.
func meanTimes(reports [][2]float64, opts ...Option) []float64 {
	co := New(0, opts...)
	co.MemberJoined(table.NewMember(1, "i", "z", "a", "s", table.Serving{}), 0)
	var list []float64
	for n, r := range reports {
		report := load.NewReport(nil, nil).WithCells([]load.Cell{load.NewCell(0, uint64(r[0]))}, load.NewTargetStats(5, r[1], 0))
		co.RecordCells(1, "s", nil, report, clock.Millis(n+1)*500)
		list = append(list, co.View().TargetStats(1).MeanTime())
	}
	return list
}

// TestServiceTimesAreTakenAsReported unless a window is set.
func TestServiceTimesAreTakenAsReported(t *testing.T) {
	is := is.New(t)
	is.Equal(meanTimes([][2]float64{{10, 100}, {0, 300}, {10, 50}}), []float64{100, 300, 50})
}

// TestServiceTimesAreAveragedByRequests has reports without requests and with few. They must not count like those
// with many, nor must a first value that no request has shown.
func TestServiceTimesAreAveragedByRequests(t *testing.T) {
	is := is.New(t)
	got := meanTimes([][2]float64{{0, 500}, {10, 100}, {0, 100}, {1, 1000}, {100, 50}}, WithCapacityWindow(CapacityWindow))
	is.Equal(got[:3], []float64{500, 100, 100})
	is.True(got[3] > 100 && got[3] < 400)
	is.True(got[4] > 50 && got[4] < 70)
}
