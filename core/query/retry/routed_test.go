package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/query/retry"
	"verbenabank/core/state/result"
)

// waits returns how long in all a request with a deadline waits while it is refused.
func waits(reason result.Reason, deadline clock.Millis) clock.Millis {
	awaited := clock.Millis(0)
	for {
		v := retry.Decide(retry.Routed{}, retry.NewAttempt(result.NewRefused(reason, 0), retry.WithReplayable(true),
			retry.WithAttempts(1, 2), retry.WithRemaining(deadline-awaited), retry.WithWaited(awaited)))
		a, ok := v.(retry.AwaitUpdate)
		if !ok {
			return awaited
		}
		awaited += a.MaxWait()
	}
}

func TestRoutedWaitsForKeysThatAreHandedOver(t *testing.T) {
	for _, c := range []struct {
		reason         result.Reason
		deadline, want clock.Millis
	}{
		{result.NotOwner, 2400, 1200}, {result.NotOwner, 20_000, retry.MoveAwait}, {result.NotOwner, 500, 400},
		{result.NotHeld, 2400, 1200}, {result.NotOwner, 300, 250},
		{result.NoOwner, 2400, retry.RoutedAwait}, {result.NotReady, 2400, retry.RoutedAwait},
		{result.Unreachable, 2400, retry.RoutedAwait}, {result.Overloaded, 2400, 0},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			is.New(t).Equal(waits(c.reason, c.deadline), c.want)
		})
	}
}

// TestRoutedAsksAnotherWhereAnyTargetWillDo is the case of a daemon that has the address of one
// that is gone and serves something else.
func TestRoutedAsksAnotherWhereAnyTargetWillDo(t *testing.T) {
	for _, r := range []result.Reason{result.NotOwner, result.NotHeld, result.NotReady, result.Leaving, result.Overloaded} {
		t.Run(string(r), func(t *testing.T) {
			v := retry.Decide(retry.Routed{}, retry.NewAttempt(result.NewRefused(r, 0), retry.WithReplayable(true),
				retry.WithAttempts(1, 2), retry.WithRemaining(2400), retry.WithAlternatives(true)))
			_, ok := v.(retry.Retry)
			is.New(t).True(ok)
		})
	}
}
