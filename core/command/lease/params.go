package lease

import "verbenabank/core/clock"

// Params holds the durations of leases in milliseconds. They must be the same in all processes
// of a deployment.
type Params struct {
	ttl           clock.Millis
	rulesTTL      clock.Millis
	margin        clock.Millis
	renewInterval clock.Millis
	renewTimeout  clock.Millis
}

// DefaultParams returns the parameters of a deployment that configures none.
func DefaultParams() Params {
	return Params{ttl: TTL, rulesTTL: RulesTTL, margin: Margin, renewInterval: RenewInterval, renewTimeout: RenewInterval}
}

// NewParams returns parameters for leases with a TTL that are renewed at an interval. Members
// stop earlier by the margin and the leader waits longer by it. A renewal without an answer
// within the timeout ends the session. Rules stay usable for at least the default duration.
func NewParams(ttl, margin, renewInterval, renewTimeout clock.Millis) Params {
	return Params{ttl: ttl, rulesTTL: max(RulesTTL, ttl), margin: margin, renewInterval: renewInterval, renewTimeout: renewTimeout}
}

// WithRulesTTL replaces the TTL of the lease on the rules.
func (p Params) WithRulesTTL(ttl clock.Millis) Params {
	p.rulesTTL = ttl
	return p
}

// TTL returns how long ownership lasts from the sending of a renewal.
func (p Params) TTL() clock.Millis { return p.ttl }

// RulesTTL returns how long the routing rules may be used from the sending of a renewal.
func (p Params) RulesTTL() clock.Millis { return p.rulesTTL }

// Margin returns by how much a daemon stops early and the leader waits longer.
func (p Params) Margin() clock.Millis { return p.margin }

// RenewInterval returns the renewal interval of a daemon.
func (p Params) RenewInterval() clock.Millis { return p.renewInterval }

// RenewTimeout returns how long a daemon waits for the answer to a renewal.
func (p Params) RenewTimeout() clock.Millis { return p.renewTimeout }

// Option sets one property of a Tracker or a Holder.
type Option func(*Params)

// WithParams replaces the default parameters.
func WithParams(p Params) Option { return func(x *Params) { *x = p } }

func applyOptions(opts []Option) Params {
	p := DefaultParams()
	for _, o := range opts {
		o(&p)
	}
	return p
}
