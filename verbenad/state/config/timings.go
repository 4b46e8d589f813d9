package config

import (
	"verbenabank/core/clock"
	"verbenabank/core/state/grant"
)

// LocalTarget is what the settings tell about the local target, for the time before it announces itself or
// sends a heartbeat.
type LocalTarget struct {
	service  string
	address  string
	delivery grant.Delivery
}

// NewLocalTarget returns a target of service that listens at address ("ip:port") and gets its grants by
// calls.
func NewLocalTarget(service, address string) LocalTarget {
	return LocalTarget{service: service, address: address, delivery: grant.ByCall{}}
}

// WithDelivery sets how grants reach the target.
func (t LocalTarget) WithDelivery(d grant.Delivery) LocalTarget {
	t.delivery = d
	return t
}

// Delivery returns how grants reach the target.
func (t LocalTarget) Delivery() grant.Delivery {
	if t.delivery == nil {
		return grant.ByCall{}
	}
	return t.delivery
}

// Service returns the name of the target's service, "" if it is not set.
func (t LocalTarget) Service() string { return t.service }

// Address returns the address ("ip:port") at which the target listens, "" if it is not set.
func (t LocalTarget) Address() string { return t.address }

// Timings holds durations in milliseconds. Those that are 0 are not set.
type Timings struct {
	leaseTTL      clock.Millis
	leaseMargin   clock.Millis
	renewInterval clock.Millis
	rulesTTL      clock.Millis
	maxHold       clock.Millis
	maxDrain      clock.Millis
	stopGrace     clock.Millis
	zoneDrain     clock.Millis
}

// NewTimings returns the TTL of leases, the margin for clock differences over that time, and the interval
// between renewals. All of them are 0 if the settings have no lease parameters.
func NewTimings(leaseTTL, leaseMargin, renewInterval clock.Millis) Timings {
	return Timings{leaseTTL: leaseTTL, leaseMargin: leaseMargin, renewInterval: renewInterval}
}

// WithLimits sets how long a target may hold keys, how long a stopping target still receives new
// requests, and how long the daemon's shutdown may take.
func (t Timings) WithLimits(maxHold, maxDrain, stopGrace clock.Millis) Timings {
	t.maxHold, t.maxDrain, t.stopGrace = maxHold, maxDrain, stopGrace
	return t
}

// WithRulesTTL sets how long the rules may be used from the sending of an answered renewal.
func (t Timings) WithRulesTTL(ttl clock.Millis) Timings {
	t.rulesTTL = ttl
	return t
}

// WithZoneDrain sets within which time requests to the targets of a zone end once it is drained.
func (t Timings) WithZoneDrain(limit clock.Millis) Timings {
	t.zoneDrain = limit
	return t
}

// ZoneDrain returns within which time requests to the targets of a zone end once it is drained.
func (t Timings) ZoneDrain() clock.Millis { return t.zoneDrain }

// RulesTTL returns how long the rules may be used from the sending of an answered renewal.
func (t Timings) RulesTTL() clock.Millis { return t.rulesTTL }

// LeaseTTL returns how long a lease lasts.
func (t Timings) LeaseTTL() clock.Millis { return t.leaseTTL }

// LeaseMargin returns by how much members give up a lease earlier, and the leader waits longer for its end.
func (t Timings) LeaseMargin() clock.Millis { return t.leaseMargin }

// RenewInterval returns the interval between renewals of a lease.
func (t Timings) RenewInterval() clock.Millis { return t.renewInterval }

// MaxHold returns the longest hold that the target accepts.
func (t Timings) MaxHold() clock.Millis { return t.maxHold }

// MaxDrain returns how long a stopping target still receives new requests.
func (t Timings) MaxDrain() clock.Millis { return t.maxDrain }

// StopGrace returns how long a graceful shutdown of the daemon may take.
func (t Timings) StopGrace() clock.Millis { return t.stopGrace }

// RetryBudget is the retry budget that all daemons of the fleet share, for each service.
type RetryBudget struct {
	ratio     float64
	allowance float64
	window    clock.Millis
}

// NewRetryBudget returns a budget of ratio retries per request and, in addition, of allowance retries in any
// window.
func NewRetryBudget(ratio float64, allowance float64, window clock.Millis) RetryBudget {
	return RetryBudget{ratio: ratio, allowance: allowance, window: window}
}

// Ratio returns how many retries each request earns, such as 0.2.
func (r RetryBudget) Ratio() float64 { return r.ratio }

// Allowance returns how many retries are allowed per window in addition to earned ones.
func (r RetryBudget) Allowance() float64 { return r.allowance }

// Window returns the length of the window in milliseconds, 0 if no budget is set.
func (r RetryBudget) Window() clock.Millis { return r.window }

// ColdBound is how many requests a cold target may get in a second.
type ColdBound struct {
	overshoot float64
	slack     float64
}

// NewColdBound returns a bound of overshoot times the rate that a cold target takes, and slack requests on top.
func NewColdBound(overshoot, slack float64) ColdBound {
	return ColdBound{overshoot: overshoot, slack: slack}
}

// Overshoot returns the multiple of the rate that a cold target takes.
func (b ColdBound) Overshoot() float64 { return b.overshoot }

// Slack returns the number of requests on top.
func (b ColdBound) Slack() float64 { return b.slack }
