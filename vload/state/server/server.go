// Package server describes a stand-in target: its settings, its simulated behavior and its published
// status.
package server

import "verbenabank/core/clock"

// Behavior is the simulated behavior of a target: concurrency limits, delays, service times and fencing.
// It is immutable.
type Behavior struct {
	slots          int
	backlog        int
	maxConnections int
	connectDelay   clock.Millis
	drainTime      clock.Millis
	coldDuration   clock.Millis
	coldSlowdown   float64
	reportLag      clock.Millis
	fencing        Fencing
	distribution   Spread
	serviceTimes   map[string]clock.Millis
}

// Option sets one property of a Behavior.
type Option func(*Behavior)

// Defaults of a target.
const (
	DefaultSlots       = 12
	DefaultBacklog     = 12
	DefaultConnections = 130
	DefaultConnect     = 1 * clock.Millisecond
	DefaultDrain       = 3 * clock.Second
	DefaultColdFor     = 2 * clock.Second
	DefaultColdFactor  = 2.0
	DefaultService     = 5 * clock.Millisecond
)

// New returns the default behavior, which has no fencing and fixed service times, changed by opts.
func New(opts ...Option) Behavior {
	b := Behavior{
		slots: DefaultSlots, backlog: DefaultBacklog, maxConnections: DefaultConnections,
		connectDelay: DefaultConnect, drainTime: DefaultDrain,
		coldDuration: DefaultColdFor, coldSlowdown: DefaultColdFactor,
		fencing: Unfenced{}, distribution: Fixed{},
	}
	for _, o := range opts {
		o(&b)
	}
	return b
}

// WithSlots sets how many requests run concurrently and how many more may wait in the queue.
func WithSlots(slots, backlog int) Option {
	return func(b *Behavior) { b.slots, b.backlog = slots, backlog }
}

// WithConnections sets the limit of open connections and the delay before a new one is served.
func WithConnections(limit int, delay clock.Millis) Option {
	return func(b *Behavior) { b.maxConnections, b.connectDelay = limit, delay }
}

// WithDrain sets how long a target that shuts down still takes requests.
func WithDrain(duration clock.Millis) Option { return func(b *Behavior) { b.drainTime = duration } }

// WithColdStart sets how long a target is cold after its start, and the factor by which service times are
// longer meanwhile.
func WithColdStart(duration clock.Millis, slowdown float64) Option {
	return func(b *Behavior) { b.coldDuration, b.coldSlowdown = duration, slowdown }
}

// WithReportLag sets the interval at which the load report is updated; 0 updates it at each event.
func WithReportLag(interval clock.Millis) Option { return func(b *Behavior) { b.reportLag = interval } }

// WithFencing sets when the target checks epochs and leases.
func WithFencing(f Fencing) Option { return func(b *Behavior) { b.fencing = f } }

// WithService sets the mean service time of each HTTP method, and the distribution of all of them. A method
// that is missing takes the default.
func WithService(means map[string]clock.Millis, d Spread) Option {
	return func(b *Behavior) { b.serviceTimes, b.distribution = means, d }
}

// Slots returns how many requests run concurrently.
func (b Behavior) Slots() int { return b.slots }

// Backlog returns how many requests may wait in the queue for a slot.
func (b Behavior) Backlog() int { return b.backlog }

// Connections returns the limit of open connections.
func (b Behavior) Connections() int { return b.maxConnections }

// Connect returns the delay before a new connection is served.
func (b Behavior) Connect() clock.Millis { return b.connectDelay }

// Drain returns how long a target that shuts down still takes requests.
func (b Behavior) Drain() clock.Millis { return b.drainTime }

// ColdFor returns how long the target is cold after its start.
func (b Behavior) ColdFor() clock.Millis { return b.coldDuration }

// ColdFactor returns the factor by which the service times of a cold target are longer.
func (b Behavior) ColdFactor() float64 { return b.coldSlowdown }

// ReportLag returns the interval at which the load report is updated; 0 updates it at each event.
func (b Behavior) ReportLag() clock.Millis { return b.reportLag }

// Fencing returns when the target checks epochs and leases.
func (b Behavior) Fencing() Fencing { return b.fencing }

// Spread returns the distribution of service times.
func (b Behavior) Spread() Spread { return b.distribution }

// Service returns the mean service time of requests with an HTTP method.
func (b Behavior) Service(method string) clock.Millis {
	if t, ok := b.serviceTimes[method]; ok {
		return t
	}
	return DefaultService
}

// Times returns the mean service times that were set, by HTTP method. The caller must not change them.
func (b Behavior) Times() map[string]clock.Millis { return b.serviceTimes }

// Fencing says when a target checks the epoch and the lease of a request: Unfenced, AtStart or AtCommit.
type Fencing interface{ fencing() }

// Unfenced means that requests run whatever their epoch and lease.
type Unfenced struct{}

// AtStart means that epoch and lease are checked before a request runs.
type AtStart struct{}

// AtCommit means that epoch and lease are checked before a request runs and again before it takes effect.
type AtCommit struct{}

func (Unfenced) fencing() {}
func (AtStart) fencing()  {}
func (AtCommit) fencing() {}

// Spread is the distribution of service times: Fixed or Exponential.
type Spread interface{ distribution() }

// Fixed makes all service times equal to the mean.
type Fixed struct{}

// Exponential draws service times from an exponential distribution.
type Exponential struct{}

func (Fixed) distribution()       {}
func (Exponential) distribution() {}
