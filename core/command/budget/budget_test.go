package budget_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/clock"
	"verbenabank/core/command/budget"
)

// TestFleetStaysWithinItsAllowance lets all daemons retry as much as allowed, in bursts, and checks
// the number of retries in every window.
func TestFleetStaysWithinItsAllowance(t *testing.T) {
	const daemons, allowance, percent, window = 12, 60, 18, 10 * clock.Second
	r := rand.New(rand.NewPCG(1, 2))
	var budgets []*budget.Budget
	for range daemons {
		budgets = append(budgets, budget.New(budget.WithAllowance(allowance, window)))
	}
	var attempts, retries []clock.Millis
	for now := clock.Millis(1); now < 60*clock.Second; now += 5 {
		for _, b := range budgets {
			if r.IntN(20) == 0 {
				b.Earn(percent, daemons, now)
				attempts = append(attempts, now)
			}
			for now%7000 < 300 && b.Spend(daemons, now) {
				retries = append(retries, now)
			}
		}
	}
	within := func(instants []clock.Millis, begin clock.Millis) (count int) {
		for _, at := range instants {
			if at >= begin && at < begin+window {
				count++
			}
		}
		return count
	}
	for begin := clock.Millis(0); begin < 50*clock.Second; begin += 100 {
		earned := float64(max(within(attempts, begin), within(attempts, begin-window/2))) * 0.2
		if got := within(retries, begin); float64(got) > earned+allowance {
			t.Fatalf("window at %d: %d retries, %f allowed", begin, got, earned+allowance)
		}
	}
	is.New(t).True(len(retries) > allowance)
}

func TestRestartedBudgetIsEmpty(t *testing.T) {
	is := is.New(t)
	b := budget.New(budget.WithAllowance(100, 10*clock.Second))
	is.True(!b.Spend(1, 1000))
	is.True(b.Spend(1, 3000))
	is.True(budget.New().Spend(1, 0))
}
