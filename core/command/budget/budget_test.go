package budget_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/budget"
)

// TestFleetStaysWithinItsAllowance lets daemons retry as much as they may, in bursts, and
// counts all windows.
func TestFleetStaysWithinItsAllowance(t *testing.T) {
	const daemons, allowance, percent, window = 12, 60, 18, 10 * clock.Second
	r := rand.New(rand.NewPCG(1, 2))
	var list []*budget.Budget
	for range daemons {
		list = append(list, budget.New(budget.WithAllowance(allowance, window)))
	}
	var first, again []clock.Millis
	for now := clock.Millis(1); now < 60*clock.Second; now += 5 {
		for _, b := range list {
			if r.IntN(20) == 0 {
				b.Earn(percent, daemons, now)
				first = append(first, now)
			}
			for now%7000 < 300 && b.Spend(daemons, now) {
				again = append(again, now)
			}
		}
	}
	within := func(list []clock.Millis, begin clock.Millis) (count int) {
		for _, at := range list {
			if at >= begin && at < begin+window {
				count++
			}
		}
		return count
	}
	for begin := clock.Millis(0); begin < 50*clock.Second; begin += 100 {
		earned := float64(max(within(first, begin), within(first, begin-window/2))) * 0.2
		if got := within(again, begin); float64(got) > earned+allowance {
			t.Fatalf("window at %d: %d retries, %f allowed", begin, got, earned+allowance)
		}
	}
	is.New(t).True(len(again) > allowance)
}

func TestRestartedBudgetIsEmpty(t *testing.T) {
	is := is.New(t)
	b := budget.New(budget.WithAllowance(100, 10*clock.Second))
	is.True(!b.Spend(1, 1000))
	is.True(b.Spend(1, 3000))
	is.True(budget.New().Spend(1, 0))
}
