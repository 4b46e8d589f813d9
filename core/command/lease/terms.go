package lease

import "verbenabank/core/clock"

// Params are the spans of leases in milliseconds, the same in all processes of a deployment.
type Params struct {
	span     clock.Millis
	rules    clock.Millis
	margin   clock.Millis
	every    clock.Millis
	patience clock.Millis
}

// DefaultParams returns the terms of a deployment that sets none.
func DefaultParams() Params {
	return Params{span: TTL, rules: RulesTTL, margin: Margin, every: RenewInterval, patience: RenewInterval}
}

// NewParams returns the terms of leases of a span that are renewed at an interval. Members
// stop and the leader waits by the margin longer. A renewal that is not answered within the
// patience ends the session.
func NewParams(span, margin, every, patience clock.Millis) Params {
	return Params{span: span, rules: max(RulesTTL, span), margin: margin, every: every, patience: patience}
}

// TTL returns how long ownership lasts from the sending of a renewal.
func (t Params) TTL() clock.Millis { return t.span }

// RulesTTL returns how long the rules may be used from the sending of a renewal.
func (t Params) RulesTTL() clock.Millis { return t.rules }

// Margin returns by how much a daemon stops early and the leader waits longer.
func (t Params) Margin() clock.Millis { return t.margin }

// RenewInterval returns the time between two renewals of a daemon.
func (t Params) RenewInterval() clock.Millis { return t.every }

// RenewTimeout returns how long a renewal may go without an answer.
func (t Params) RenewTimeout() clock.Millis { return t.patience }

// Option sets one property of a Book or a Holder.
type Option func(*Params)

// WithParams sets the terms.
func WithParams(t Params) Option { return func(x *Params) { *x = t } }

func terms(opts []Option) Params {
	t := DefaultParams()
	for _, o := range opts {
		o(&t)
	}
	return t
}
