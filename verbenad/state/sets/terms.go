package sets

import "verbenabank/core/clock"

// Beside is what is known of the target beside before it speaks.
type Beside struct {
	service string
	address string
}

// NewBeside returns a target of the service that listens at the address ("ip:port").
func NewBeside(service, address string) Beside { return Beside{service: service, address: address} }

// Service returns the name of the service, "" if it is not known.
func (b Beside) Service() string { return b.service }

// Address returns where the target listens, "" if it is not known.
func (b Beside) Address() string { return b.address }

// Terms are spans in milliseconds; those that are 0 are not set.
type Terms struct {
	lease  clock.Millis
	margin clock.Millis
	renew  clock.Millis
	hold   clock.Millis
	drain  clock.Millis
	grace  clock.Millis
}

// NewTerms returns the span of leases, the margin by which clocks may differ over it, and the
// pause between renewals.
func NewTerms(lease, margin, renew clock.Millis) Terms {
	return Terms{lease: lease, margin: margin, renew: renew}
}

// WithStops returns the terms with the longest hold of a target, how long a target that is
// about to stop gets new work, and how long the daemon may take to stop.
func (t Terms) WithStops(hold, drain, grace clock.Millis) Terms {
	t.hold, t.drain, t.grace = hold, drain, grace
	return t
}

// Lease returns the span of leases.
func (t Terms) Lease() clock.Millis { return t.lease }

// Margin returns by how much members stop early and the leader waits longer.
func (t Terms) Margin() clock.Millis { return t.margin }

// Renew returns the pause between renewals.
func (t Terms) Renew() clock.Millis { return t.renew }

// Hold returns the longest hold of a target.
func (t Terms) Hold() clock.Millis { return t.hold }

// Drain returns how long a target that is about to stop gets new work.
func (t Terms) Drain() clock.Millis { return t.drain }

// Grace returns how long the daemon may take to stop.
func (t Terms) Grace() clock.Millis { return t.grace }

// Retries is the retry budget of a fleet for each service.
type Retries struct {
	ratio     float64
	allowance int
	window    clock.Millis
}

// NewRetries returns the budget: ratio retries for a request and an allowance besides, in any
// window in milliseconds.
func NewRetries(ratio float64, allowance int, window clock.Millis) Retries {
	return Retries{ratio: ratio, allowance: allowance, window: window}
}

// Ratio returns the retries that a request allows.
func (r Retries) Ratio() float64 { return r.ratio }

// Allowance returns the retries that are allowed besides.
func (r Retries) Allowance() int { return r.allowance }

// Window returns the span that the budget is for.
func (r Retries) Window() clock.Millis { return r.window }
