package config

import "verbenabank/core/clock"

// LocalTarget is what is known of the target beside before it speaks.
type LocalTarget struct {
	service string
	address string
}

// NewLocalTarget returns a target of the service that listens at the address ("ip:port").
func NewLocalTarget(service, address string) LocalTarget {
	return LocalTarget{service: service, address: address}
}

// Service returns the name of the service, "" if it is not known.
func (b LocalTarget) Service() string { return b.service }

// Address returns where the target listens, "" if it is not known.
func (b LocalTarget) Address() string { return b.address }

// Timings are spans in milliseconds; those that are 0 are not set.
type Timings struct {
	lease  clock.Millis
	margin clock.Millis
	renew  clock.Millis
	hold   clock.Millis
	drain  clock.Millis
	grace  clock.Millis
}

// NewTimings returns the span of leases, the margin by which clocks may differ over it, and the
// pause between renewals.
func NewTimings(lease, margin, renew clock.Millis) Timings {
	return Timings{lease: lease, margin: margin, renew: renew}
}

// WithLimits returns the terms with the longest hold of a target, how long a target that is
// about to stop gets new work, and how long the daemon may take to stop.
func (t Timings) WithLimits(hold, drain, grace clock.Millis) Timings {
	t.hold, t.drain, t.grace = hold, drain, grace
	return t
}

// LeaseTTL returns the span of leases.
func (t Timings) LeaseTTL() clock.Millis { return t.lease }

// LeaseMargin returns by how much members stop early and the leader waits longer.
func (t Timings) LeaseMargin() clock.Millis { return t.margin }

// RenewInterval returns the pause between renewals.
func (t Timings) RenewInterval() clock.Millis { return t.renew }

// MaxHold returns the longest hold of a target.
func (t Timings) MaxHold() clock.Millis { return t.hold }

// MaxDrain returns how long a target that is about to stop gets new work.
func (t Timings) MaxDrain() clock.Millis { return t.drain }

// StopGrace returns how long the daemon may take to stop.
func (t Timings) StopGrace() clock.Millis { return t.grace }

// RetryBudget is the retry budget of a fleet for each service.
type RetryBudget struct {
	ratio     float64
	allowance int
	window    clock.Millis
}

// NewRetryBudget returns the budget: ratio retries for a request and an allowance besides, in any
// window in milliseconds.
func NewRetryBudget(ratio float64, allowance int, window clock.Millis) RetryBudget {
	return RetryBudget{ratio: ratio, allowance: allowance, window: window}
}

// Ratio returns the retries that a request allows.
func (r RetryBudget) Ratio() float64 { return r.ratio }

// Allowance returns the retries that are allowed besides.
func (r RetryBudget) Allowance() int { return r.allowance }

// Window returns the span that the budget is for.
func (r RetryBudget) Window() clock.Millis { return r.window }
