// Package budget bounds retries to a share of first attempts.
package budget

import (
	"sync"

	"verbenabank/core/clock"
)

// Reserve is how many retries are allowed before any first attempt was counted,
// and the most that can be saved up, unless an allowance is set.
const Reserve = 10

// saved is how many retries earned by first attempts may be saved up besides a part of the
// allowance.
const saved = 2

// cost is the price of one retry; a first attempt earns the allowed percentage.
const cost = 100

// Budget is a token bucket that first attempts fill and retries empty. It is safe for
// concurrent use.
type Budget struct {
	mu        sync.Mutex
	allowance int // retries of the whole fleet in a window besides those earned
	window    clock.Millis
	balance   float64
	at        clock.Millis
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
	b := &Budget{balance: Reserve * cost}
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
	b.balance = min(b.balance+float64(percent), b.most(sharers))
}

// Spend takes one retry from the budget at now. It reports false, and takes nothing, if
// there is none left.
func (b *Budget) Spend(sharers int, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(sharers, now)
	if b.balance < cost {
		return false
	}
	b.balance -= cost
	return true
}

// Left returns how many retries may be made at once.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance / cost
}

// most returns the greatest balance. Half of the allowance may be saved up and the other
// half flows in during a window, so no window sees more than the whole.
func (b *Budget) most(sharers int) float64 {
	if b.window == 0 {
		return Reserve * cost
	}
	return b.half(sharers) + saved*cost
}

// half returns half of this daemon's part of the allowance.
func (b *Budget) half(sharers int) float64 {
	return float64(b.allowance) * cost / 2 / float64(max(1, sharers))
}

func (b *Budget) refill(sharers int, now clock.Millis) {
	if b.window == 0 {
		return
	}
	if b.at > 0 {
		b.balance = min(b.balance+b.half(sharers)*float64(now-b.at)/float64(b.window), b.most(sharers))
	}
	b.at = now
}
