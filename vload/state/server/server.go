// Package server holds how a stand-in target behaves.
package server

import "verbenabank/core/clock"

// Behavior is what a target does with requests. It is immutable.
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

// New returns the behavior of a target without fencing, changed by opts.
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

// WithSlots sets how many requests run at once and how many more may wait.
func WithSlots(slots, backlog int) Option {
	return func(b *Behavior) { b.slots, b.backlog = slots, backlog }
}

// WithConnections sets the limit of connections and the time that a new one takes.
func WithConnections(limit int, connect clock.Millis) Option {
	return func(b *Behavior) { b.maxConnections, b.connectDelay = limit, connect }
}

// WithDrain sets how long a leaving target still takes requests.
func WithDrain(span clock.Millis) Option { return func(b *Behavior) { b.drainTime = span } }

// WithColdStart sets how long a target is cold, and how much slower it is then.
func WithColdStart(span clock.Millis, factor float64) Option {
	return func(b *Behavior) { b.coldDuration, b.coldSlowdown = span, factor }
}

// WithReportLag sets the age of health and load reports.
func WithReportLag(span clock.Millis) Option { return func(b *Behavior) { b.reportLag = span } }

// WithFencing sets when the target checks epochs and leases.
func WithFencing(f Fencing) Option { return func(b *Behavior) { b.fencing = f } }

// WithService sets the mean time to serve each HTTP method, and its spread.
func WithService(times map[string]clock.Millis, s Spread) Option {
	return func(b *Behavior) { b.serviceTimes, b.distribution = times, s }
}

// Slots returns how many requests run at once.
func (b Behavior) Slots() int { return b.slots }

// Backlog returns how many requests may wait for a slot.
func (b Behavior) Backlog() int { return b.backlog }

// Connections returns the limit of connections.
func (b Behavior) Connections() int { return b.maxConnections }

// Connect returns the time that a new connection takes.
func (b Behavior) Connect() clock.Millis { return b.connectDelay }

// Drain returns how long a leaving target still takes requests.
func (b Behavior) Drain() clock.Millis { return b.drainTime }

// ColdFor returns how long the target is cold after its start.
func (b Behavior) ColdFor() clock.Millis { return b.coldDuration }

// ColdFactor returns how much slower a cold target is.
func (b Behavior) ColdFactor() float64 { return b.coldSlowdown }

// ReportLag returns the age of health and load reports.
func (b Behavior) ReportLag() clock.Millis { return b.reportLag }

// Fencing returns when the target checks epochs and leases.
func (b Behavior) Fencing() Fencing { return b.fencing }

// Spread returns how the times to serve vary.
func (b Behavior) Spread() Spread { return b.distribution }

// Service returns the mean time to serve a request with the HTTP method.
func (b Behavior) Service(method string) clock.Millis {
	if t, ok := b.serviceTimes[method]; ok {
		return t
	}
	return DefaultService
}

// Times returns the mean times to serve that were set, by HTTP method. The
// caller must not change them.
func (b Behavior) Times() map[string]clock.Millis { return b.serviceTimes }

// Fencing says when a target checks epoch and lease: Unfenced, AtStart or
// AtCommit.
type Fencing interface{ fencing() }

// Unfenced targets run whatever reaches them.
type Unfenced struct{}

// AtStart targets check before a request runs.
type AtStart struct{}

// AtCommit targets check before a request runs and again before it takes effect.
type AtCommit struct{}

func (Unfenced) fencing() {}
func (AtStart) fencing()  {}
func (AtCommit) fencing() {}

// Spread says how times to serve vary: Fixed or Exponential.
type Spread interface{ spread() }

// Fixed times are all equal to the mean.
type Fixed struct{}

// Exponential times are exponentially distributed.
type Exponential struct{}

func (Fixed) spread()       {}
func (Exponential) spread() {}
