// Package budget bounds retries to a share of first attempts.
package budget

import "sync"

// Reserve is how many retries are allowed before any first attempt was counted,
// and the most that can be saved up.
const Reserve = 10

// cost is the price of one retry; a first attempt earns the allowed percentage.
const cost = 100

// Budget is a token bucket that first attempts fill and retries empty. It is safe for
// concurrent use.
type Budget struct {
	mu      sync.Mutex
	balance int
}

// New returns a full budget.
func New() *Budget { return &Budget{balance: Reserve * cost} }

// Earn counts a first attempt of a service that allows percent retries for 100
// first attempts.
func (b *Budget) Earn(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+percent, Reserve*cost)
}

// Spend takes one retry from the budget. It reports false, and takes nothing, if
// there is none left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < cost {
		return false
	}
	b.balance -= cost
	return true
}
