package rooms_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/query/retry"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/command/rooms"
)

// TestSpreadOutKeepsWhatARefusalSays guards against a time to return after for a request whose deadline is over, and against
// one that is shorter than without Rooms.
func TestSpreadOutKeepsWhatARefusalSays(t *testing.T) {
	is := is.New(t)
	for range 200 {
		is.Equal(retry.After(rooms.SpreadOut(result.NewRefused(result.Expired, 0), 400*clock.Millisecond)), clock.Millis(0))
		is.True(retry.After(rooms.SpreadOut(result.NewRefused(result.Overloaded, 0), 400*clock.Millisecond)) >= retry.AfterOverload)
		named := retry.After(rooms.SpreadOut(result.NewRefused(result.Overloaded, 100), 400*clock.Millisecond))
		is.True(named >= 100 && named < 500)
	}
}
