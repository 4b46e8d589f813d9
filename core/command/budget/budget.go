// Package budget bounds retries to a share of first attempts.
package budget

import (
	"sync"

	"verbenabank/core/clock"
)

// DefaultBurst is how many retries are allowed before any first attempt was counted,
// and the most that can be saved up, unless an allowance is set.
const DefaultBurst = 10

// earnedBurst is how many retries earned by first attempts may be saved up besides a part of the
// allowance.
const earnedBurst = 2

// retryCost is the price of one retry; a first attempt earns the allowed percentage.
const retryCost = 100

// Budget is a token bucket that first attempts fill and retries empty. It is safe for
// concurrent use.
type Budget struct {
	mu         sync.Mutex
	allowance  int // retries of the whole fleet in a window besides those earned
	window     clock.Millis
	balance    float64
	refilledAt clock.Millis
}

// Option sets one property of a Budget.
type Option func(*Budget)

// WithAllowance sets how many retries the daemons of a fleet may make together in any
// window in milliseconds, besides those that first attempts earn. The budget is empty at
// first, since an earlier process may have spent it.
func WithAllowance(retries int, window clock.Millis) Option {
	return func(b *Budget) { b.allowance, b.window, b.balance = retries, window, 0 }
}

// New returns a budget.
func New(opts ...Option) *Budget {
	b := &Budget{balance: DefaultBurst * retryCost}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Earn counts a first attempt at now of a service that allows percent retries for 100
// first attempts. sharers is how many daemons share the allowance.
func (b *Budget) Earn(percent, sharers int, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(sharers, now)
	b.balance = min(b.balance+float64(percent), b.maxBalance(sharers))
}

// Spend takes one retry from the budget at now. It reports false, and takes nothing, if
// there is none left.
func (b *Budget) Spend(sharers int, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(sharers, now)
	if b.balance < retryCost {
		return false
	}
	b.balance -= retryCost
	return true
}

// Left returns how many retries may be made at once.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance / retryCost
}

// maxBalance returns the greatest balance. Half of the allowance may be saved up and the other
// half flows in during a window, so no window sees more than the whole.
func (b *Budget) maxBalance(sharers int) float64 {
	if b.window == 0 {
		return DefaultBurst * retryCost
	}
	return b.halfShare(sharers) + earnedBurst*retryCost
}

// halfShare returns half of this daemon's part of the allowance.
func (b *Budget) halfShare(sharers int) float64 {
	return float64(b.allowance) * retryCost / 2 / float64(max(1, sharers))
}

func (b *Budget) refill(sharers int, now clock.Millis) {
	if b.window == 0 {
		return
	}
	if b.refilledAt > 0 {
		b.balance = min(b.balance+b.halfShare(sharers)*float64(now-b.refilledAt)/float64(b.window), b.maxBalance(sharers))
	}
	b.refilledAt = now
}
