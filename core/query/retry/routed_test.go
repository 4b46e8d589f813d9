package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/query/retry"
	"verbenabank/core/state/result"
)

// totalWait returns how long a request waits in total while every attempt is refused for the
// given reason.
func totalWait(reason result.Reason, deadline clock.Millis) clock.Millis {
	waited := clock.Millis(0)
	for {
		v := retry.Decide(retry.Routed{}, retry.NewAttempt(result.NewRefused(reason, 0), retry.WithReplayable(true),
			retry.WithAttempts(1, 2), retry.WithRemaining(deadline-waited), retry.WithWaited(waited)))
		a, ok := v.(retry.AwaitUpdate)
		if !ok {
			return waited
		}
		waited += a.MaxWait()
	}
}

// TestRoutedWaitsForHandover guards against giving up during a handover: a request waits for
// half of the time to its deadline, at least 400 ms and at most HandoverWait, and stops 50 ms before
// the deadline.
func TestRoutedWaitsForHandover(t *testing.T) {
	for _, c := range []struct {
		reason         result.Reason
		deadline, want clock.Millis
	}{
		{result.NotOwner, 2400, 1200}, {result.NotOwner, 20_000, retry.HandoverWait}, {result.NotOwner, 500, 400},
		{result.NotHeld, 2400, 1200}, {result.NotOwner, 300, 250},
		{result.NoOwner, 2400, retry.RoutedOwnerWait}, {result.NotReady, 2400, retry.RoutedOwnerWait},
		{result.Unreachable, 2400, retry.RoutedOwnerWait}, {result.Overloaded, 2400, 0},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			is.New(t).Equal(totalWait(c.reason, c.deadline), c.want)
		})
	}
}

// TestRoutedRetriesElsewhereWithAlternatives guards against giving up at a daemon that took over
// the address of a stopped one but serves something else, while other targets could serve the
// request.
func TestRoutedRetriesElsewhereWithAlternatives(t *testing.T) {
	for _, r := range []result.Reason{result.NotOwner, result.NotHeld, result.NotReady, result.Leaving, result.Overloaded} {
		t.Run(string(r), func(t *testing.T) {
			v := retry.Decide(retry.Routed{}, retry.NewAttempt(result.NewRefused(r, 0), retry.WithReplayable(true),
				retry.WithAttempts(1, 2), retry.WithRemaining(2400), retry.WithAlternatives(true)))
			_, ok := v.(retry.Retry)
			is.New(t).True(ok)
		})
	}
}
