// Package budget implements a retry budget, which limits retries to a share of first attempts.
package budget

import (
	"sync"

	"verbenabank/core/clock"
)

// DefaultBurst is the initial number of retries and the most that can accumulate, unless an
// allowance is set.
const DefaultBurst = 10

// earnedBurst is how many retries earned by first attempts may accumulate in addition to the share
// of the allowance.
const earnedBurst = 2

// retryCost is the cost of one retry in tokens; a first attempt earns the allowed percentage as tokens.
const retryCost = 100

// Budget is a token bucket that is filled by first attempts and drained by retries. It is safe
// for concurrent use.
type Budget struct {
	mu         sync.Mutex
	allowance  float64 // retries of the whole fleet per window in addition to earned ones
	window     clock.Millis
	balance    float64
	refilledAt clock.Millis
}

// Option configures a Budget.
type Option func(*Budget)

// WithAllowance sets how many retries all daemons of the fleet together may make in any window,
// in milliseconds, in addition to those that first attempts earn. The budget starts empty, since
// an earlier process may have spent it.
func WithAllowance(retries float64, window clock.Millis) Option {
	return func(b *Budget) { b.allowance, b.window, b.balance = retries, window, 0 }
}

// New returns a budget. Without an allowance it starts full.
func New(opts ...Option) *Budget {
	b := &Budget{balance: DefaultBurst * retryCost}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Earn records a first attempt at now of a service that allows percent retries per 100
// first attempts. daemons is the number of daemons that share the allowance.
func (b *Budget) Earn(percent, daemons int, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(daemons, now)
	b.balance = min(b.balance+float64(percent), b.maxBalance(daemons))
}

// Spend takes one retry from the budget at now. It reports false, and takes nothing, if the
// budget is exhausted. daemons is the number of daemons that share the allowance.
func (b *Budget) Spend(daemons int, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(daemons, now)
	if b.balance < retryCost {
		return false
	}
	b.balance -= retryCost
	return true
}

// Left returns the number of retries available, which may be fractional, as of the last call of
// Earn or Spend.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance / retryCost
}

// maxBalance returns the capacity of the bucket. Half of the allowance may accumulate and the
// other half is refilled during a window, so no window sees more than the whole.
func (b *Budget) maxBalance(daemons int) float64 {
	if b.window == 0 {
		return DefaultBurst * retryCost
	}
	return b.halfShare(daemons) + earnedBurst*retryCost
}

// halfShare returns half of this daemon's share of the allowance, in tokens.
func (b *Budget) halfShare(daemons int) float64 {
	return b.allowance * retryCost / 2 / float64(max(1, daemons))
}

// refill adds the part of the allowance that is due since the last refill. The first one adds nothing.
func (b *Budget) refill(daemons int, now clock.Millis) {
	if b.window == 0 {
		return
	}
	if b.refilledAt > 0 {
		b.balance = min(b.balance+b.halfShare(daemons)*float64(now-b.refilledAt)/float64(b.window), b.maxBalance(daemons))
	}
	b.refilledAt = now
}
