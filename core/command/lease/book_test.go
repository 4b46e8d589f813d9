package lease_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenabank/core/clock"
	"verbenabank/core/command/lease"
	"verbenabank/core/state/table"
)

// TestBookFindsWhatLapsed asks the book only when it wants to be asked and
// compares it with a plain count.
func TestBookFindsWhatLapsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		b, ends, now := lease.NewTracker(0, nil), map[table.Incarnation]clock.Millis{}, clock.Millis(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 300).Draw(t, "wait"))
			if next, ok := b.NextCheck(); ok && next <= now {
				for _, i := range b.Lapsed(now) {
					is.True(ends[i] <= now)
					b.DenyRenewal(i, now)
					b.Remove(i)
					delete(ends, i)
				}
			}
			for _, end := range ends {
				is.True(end > now) // all that lapsed were found
				next, ok := b.NextCheck()
				is.True(ok && next <= end)
			}
			i := table.Incarnation(rapid.IntRange(1, 5).Draw(t, "member"))
			b.RecordRenewal(i, now)
			ends[i] = now.Add(lease.TTL + lease.Margin)
		}
	})
}
