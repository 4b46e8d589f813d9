package lease

import "verbenabank/core/clock"

// Terms are the spans of leases in milliseconds, the same in all processes of a deployment.
type Terms struct {
	span     clock.Millis
	rules    clock.Millis
	margin   clock.Millis
	every    clock.Millis
	patience clock.Millis
}

// Standard returns the terms of a deployment that sets none.
func Standard() Terms {
	return Terms{span: Span, rules: RulesSpan, margin: Margin, every: Every, patience: Every}
}

// NewTerms returns the terms of leases of a span that are renewed at an interval. Members
// stop and the leader waits by the margin longer. A renewal that is not answered within the
// patience ends the session.
func NewTerms(span, margin, every, patience clock.Millis) Terms {
	return Terms{span: span, rules: max(RulesSpan, span), margin: margin, every: every, patience: patience}
}

// Span returns how long ownership lasts from the sending of a renewal.
func (t Terms) Span() clock.Millis { return t.span }

// Rules returns how long the rules may be used from the sending of a renewal.
func (t Terms) Rules() clock.Millis { return t.rules }

// Margin returns by how much a daemon stops early and the leader waits longer.
func (t Terms) Margin() clock.Millis { return t.margin }

// Every returns the time between two renewals of a daemon.
func (t Terms) Every() clock.Millis { return t.every }

// Patience returns how long a renewal may go without an answer.
func (t Terms) Patience() clock.Millis { return t.patience }

// Option sets one property of a Book or a Holder.
type Option func(*Terms)

// WithTerms sets the terms.
func WithTerms(t Terms) Option { return func(x *Terms) { *x = t } }

func terms(opts []Option) Terms {
	t := Standard()
	for _, o := range opts {
		o(&t)
	}
	return t
}
