package lease

import "verbenabank/core/clock"

// Terms holds the durations of leases in milliseconds. They must be the same in all processes
// of a deployment.
type Terms struct {
	ttl           clock.Millis
	rulesTTL      clock.Millis
	margin        clock.Millis
	renewInterval clock.Millis
	renewTimeout  clock.Millis
}

// Standard returns the parameters of a deployment that configures none.
func Standard() Terms {
	return Terms{ttl: Span, rulesTTL: RulesSpan, margin: Margin, renewInterval: Every, renewTimeout: Every}
}

// NewTerms returns parameters for leases with a TTL that are renewed at an interval. Members
// stop earlier by the margin and the leader waits longer by it. A renewal without an answer
// within the timeout ends the session. Rules stay usable for at least the default duration.
func NewTerms(ttl, margin, renewInterval, renewTimeout clock.Millis) Terms {
	return Terms{ttl: ttl, rulesTTL: max(RulesSpan, ttl), margin: margin, renewInterval: renewInterval, renewTimeout: renewTimeout}
}

// Span returns how long ownership lasts from the sending of a renewal.
func (p Terms) Span() clock.Millis { return p.ttl }

// Rules returns how long the routing rules may be used from the sending of a renewal.
func (p Terms) Rules() clock.Millis { return p.rulesTTL }

// Margin returns by how much a daemon stops early and the leader waits longer.
func (p Terms) Margin() clock.Millis { return p.margin }

// Every returns the renewal interval of a daemon.
func (p Terms) Every() clock.Millis { return p.renewInterval }

// Patience returns how long a daemon waits for the answer to a renewal.
func (p Terms) Patience() clock.Millis { return p.renewTimeout }

// Option sets one property of a tracker or a Holder.
type Option func(*Terms)

// WithTerms replaces the default parameters.
func WithTerms(p Terms) Option { return func(x *Terms) { *x = p } }

func applyOptions(opts []Option) Terms {
	p := Standard()
	for _, o := range opts {
		o(&p)
	}
	return p
}
