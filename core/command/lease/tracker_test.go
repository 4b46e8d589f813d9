package lease_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenabank/core/clock"
	"verbenabank/core/command/lease"
	"verbenabank/core/state/table"
)

// TestAllLapsedLeasesAreFound calls Lapsed only when NextCheck says so, and compares the result with
// a map of all expiry times.
func TestAllLapsedLeasesAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		tr, ends, now := lease.NewTracker(0, nil), map[table.Incarnation]clock.Millis{}, clock.Millis(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 300).Draw(t, "wait"))
			if next, ok := tr.NextCheck(); ok && next <= now {
				for _, i := range tr.Lapsed(now) {
					is.True(ends[i] <= now)
					tr.DenyRenewal(i, now)
					tr.Remove(i)
					delete(ends, i)
				}
			}
			for _, end := range ends {
				is.True(end > now) // no expired lease was missed
				next, ok := tr.NextCheck()
				is.True(ok && next <= end)
			}
			i := table.Incarnation(rapid.IntRange(1, 5).Draw(t, "member"))
			tr.RecordRenewal(i, now)
			ends[i] = now.Add(lease.TTL + lease.Margin)
		}
	})
}
