package sets

import "verbenabank/core/clock"

// Beside is what the settings tell about the local target, for the time before it announces itself or
// sends a heartbeat.
type Beside struct {
	service string
	address string
}

// NewBeside returns a target of service that listens at address ("ip:port").
func NewBeside(service, address string) Beside { return Beside{service: service, address: address} }

// Service returns the name of the target's service, "" if it is not set.
func (b Beside) Service() string { return b.service }

// Address returns the address ("ip:port") at which the target listens, "" if it is not set.
func (b Beside) Address() string { return b.address }

// Terms holds durations in milliseconds. Those that are 0 are not set.
type Terms struct {
	leaseTTL      clock.Millis
	leaseMargin   clock.Millis
	renewInterval clock.Millis
	maxHold       clock.Millis
	maxDrain      clock.Millis
	stopGrace     clock.Millis
}

// NewTerms returns the TTL of leases, the margin for clock differences over that time, and the interval
// between renewals. All of them are 0 if the settings have no lease parameters.
func NewTerms(leaseTTL, leaseMargin, renewInterval clock.Millis) Terms {
	return Terms{leaseTTL: leaseTTL, leaseMargin: leaseMargin, renewInterval: renewInterval}
}

// WithStops sets how long a target may hold keys, how long a stopping target still receives new
// requests, and how long the daemon's shutdown may take.
func (t Terms) WithStops(maxHold, maxDrain, stopGrace clock.Millis) Terms {
	t.maxHold, t.maxDrain, t.stopGrace = maxHold, maxDrain, stopGrace
	return t
}

// Lease returns how long a lease lasts.
func (t Terms) Lease() clock.Millis { return t.leaseTTL }

// Margin returns by how much members give up a lease earlier, and the leader waits longer for its end.
func (t Terms) Margin() clock.Millis { return t.leaseMargin }

// Renew returns the interval between renewals of a lease.
func (t Terms) Renew() clock.Millis { return t.renewInterval }

// Hold returns the longest hold that the target accepts.
func (t Terms) Hold() clock.Millis { return t.maxHold }

// Drain returns how long a stopping target still receives new requests.
func (t Terms) Drain() clock.Millis { return t.maxDrain }

// Grace returns how long a graceful shutdown of the daemon may take.
func (t Terms) Grace() clock.Millis { return t.stopGrace }

// Retries is the retry budget that all daemons of the fleet share, for each service.
type Retries struct {
	ratio     float64
	allowance int
	window    clock.Millis
}

// NewRetries returns a budget of ratio retries per request and, in addition, of allowance retries in any
// window.
func NewRetries(ratio float64, allowance int, window clock.Millis) Retries {
	return Retries{ratio: ratio, allowance: allowance, window: window}
}

// Ratio returns how many retries each request earns, such as 0.2.
func (r Retries) Ratio() float64 { return r.ratio }

// Allowance returns how many retries are allowed per window in addition to earned ones.
func (r Retries) Allowance() int { return r.allowance }

// Window returns the length of the window in milliseconds, 0 if no budget is set.
func (r Retries) Window() clock.Millis { return r.window }
