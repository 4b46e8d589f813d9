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
	distribution   Distribution
	serviceTimes   map[string]clock.Millis
}

// Option sets one property of a Behavior.
type Option func(*Behavior)

// Defaults of a target.
const (
	DefaultSlots          = 12
	DefaultBacklog        = 12
	DefaultMaxConnections = 130
	DefaultConnectDelay   = 1 * clock.Millisecond
	DefaultDrainTime      = 3 * clock.Second
	DefaultColdDuration   = 2 * clock.Second
	DefaultColdSlowdown   = 2.0
	DefaultServiceTime    = 5 * clock.Millisecond
)

// New returns the default behavior, which has no fencing and fixed service times, changed by opts.
func New(opts ...Option) Behavior {
	b := Behavior{
		slots: DefaultSlots, backlog: DefaultBacklog, maxConnections: DefaultMaxConnections,
		connectDelay: DefaultConnectDelay, drainTime: DefaultDrainTime,
		coldDuration: DefaultColdDuration, coldSlowdown: DefaultColdSlowdown,
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

// WithDrainTime sets how long a target that shuts down still takes requests.
func WithDrainTime(duration clock.Millis) Option { return func(b *Behavior) { b.drainTime = duration } }

// WithColdStart sets how long a target is cold after its start, and the factor by which service times are
// longer meanwhile.
func WithColdStart(duration clock.Millis, slowdown float64) Option {
	return func(b *Behavior) { b.coldDuration, b.coldSlowdown = duration, slowdown }
}

// WithReportLag sets the interval at which the load report is updated; 0 updates it at each event.
func WithReportLag(interval clock.Millis) Option { return func(b *Behavior) { b.reportLag = interval } }

// WithFencing sets when the target checks epochs and leases.
func WithFencing(f Fencing) Option { return func(b *Behavior) { b.fencing = f } }

// WithServiceTimes sets the mean service time of each HTTP method, and the distribution of all of them. A method
// that is missing takes the default.
func WithServiceTimes(means map[string]clock.Millis, d Distribution) Option {
	return func(b *Behavior) { b.serviceTimes, b.distribution = means, d }
}

// Slots returns how many requests run concurrently.
func (b Behavior) Slots() int { return b.slots }

// Backlog returns how many requests may wait in the queue for a slot.
func (b Behavior) Backlog() int { return b.backlog }

// MaxConnections returns the limit of open connections.
func (b Behavior) MaxConnections() int { return b.maxConnections }

// ConnectDelay returns the delay before a new connection is served.
func (b Behavior) ConnectDelay() clock.Millis { return b.connectDelay }

// DrainTime returns how long a target that shuts down still takes requests.
func (b Behavior) DrainTime() clock.Millis { return b.drainTime }

// ColdDuration returns how long the target is cold after its start.
func (b Behavior) ColdDuration() clock.Millis { return b.coldDuration }

// ColdSlowdown returns the factor by which the service times of a cold target are longer.
func (b Behavior) ColdSlowdown() float64 { return b.coldSlowdown }

// ReportLag returns the interval at which the load report is updated; 0 updates it at each event.
func (b Behavior) ReportLag() clock.Millis { return b.reportLag }

// Fencing returns when the target checks epochs and leases.
func (b Behavior) Fencing() Fencing { return b.fencing }

// Distribution returns the distribution of service times.
func (b Behavior) Distribution() Distribution { return b.distribution }

// ServiceTime returns the mean service time of requests with an HTTP method.
func (b Behavior) ServiceTime(method string) clock.Millis {
	if t, ok := b.serviceTimes[method]; ok {
		return t
	}
	return DefaultServiceTime
}

// ServiceTimes returns the mean service times that were set, by HTTP method. The caller must not change them.
func (b Behavior) ServiceTimes() map[string]clock.Millis { return b.serviceTimes }

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

// Distribution is the distribution of service times: Fixed or Exponential.
type Distribution interface{ distribution() }

// Fixed makes all service times equal to the mean.
type Fixed struct{}

// Exponential draws service times from an exponential distribution.
type Exponential struct{}

func (Fixed) distribution()       {}
func (Exponential) distribution() {}
