// Package server holds how a stand-in target behaves.
package server

import "verbenabank/core/clock"

// Behavior is what a target does with requests. It is immutable.
type Behavior struct {
	slots       int
	backlog     int
	connections int
	connect     clock.Millis
	drain       clock.Millis
	coldFor     clock.Millis
	coldFactor  float64
	reportLag   clock.Millis
	fencing     Fencing
	spread      Distribution
	service     map[string]clock.Millis
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

// New returns the behavior of a target without fencing, changed by opts.
func New(opts ...Option) Behavior {
	b := Behavior{
		slots: DefaultSlots, backlog: DefaultBacklog, connections: DefaultMaxConnections,
		connect: DefaultConnectDelay, drain: DefaultDrainTime,
		coldFor: DefaultColdDuration, coldFactor: DefaultColdSlowdown,
		fencing: Unfenced{}, spread: Fixed{},
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
	return func(b *Behavior) { b.connections, b.connect = limit, connect }
}

// WithDrainTime sets how long a leaving target still takes requests.
func WithDrainTime(span clock.Millis) Option { return func(b *Behavior) { b.drain = span } }

// WithColdStart sets how long a target is cold, and how much slower it is then.
func WithColdStart(span clock.Millis, factor float64) Option {
	return func(b *Behavior) { b.coldFor, b.coldFactor = span, factor }
}

// WithReportLag sets the age of health and load reports.
func WithReportLag(span clock.Millis) Option { return func(b *Behavior) { b.reportLag = span } }

// WithFencing sets when the target checks epochs and leases.
func WithFencing(f Fencing) Option { return func(b *Behavior) { b.fencing = f } }

// WithServiceTimes sets the mean time to serve each HTTP method, and its spread.
func WithServiceTimes(times map[string]clock.Millis, s Distribution) Option {
	return func(b *Behavior) { b.service, b.spread = times, s }
}

// Slots returns how many requests run at once.
func (b Behavior) Slots() int { return b.slots }

// Backlog returns how many requests may wait for a slot.
func (b Behavior) Backlog() int { return b.backlog }

// MaxConnections returns the limit of connections.
func (b Behavior) MaxConnections() int { return b.connections }

// ConnectDelay returns the time that a new connection takes.
func (b Behavior) ConnectDelay() clock.Millis { return b.connect }

// DrainTime returns how long a leaving target still takes requests.
func (b Behavior) DrainTime() clock.Millis { return b.drain }

// ColdDuration returns how long the target is cold after its start.
func (b Behavior) ColdDuration() clock.Millis { return b.coldFor }

// ColdSlowdown returns how much slower a cold target is.
func (b Behavior) ColdSlowdown() float64 { return b.coldFactor }

// ReportLag returns the age of health and load reports.
func (b Behavior) ReportLag() clock.Millis { return b.reportLag }

// Fencing returns when the target checks epochs and leases.
func (b Behavior) Fencing() Fencing { return b.fencing }

// Distribution returns how the times to serve vary.
func (b Behavior) Distribution() Distribution { return b.spread }

// ServiceTime returns the mean time to serve a request with the HTTP method.
func (b Behavior) ServiceTime(method string) clock.Millis {
	if t, ok := b.service[method]; ok {
		return t
	}
	return DefaultServiceTime
}

// ServiceTimes returns the mean times to serve that were set, by HTTP method. The
// caller must not change them.
func (b Behavior) ServiceTimes() map[string]clock.Millis { return b.service }

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

// Distribution says how times to serve vary: Fixed or Exponential.
type Distribution interface{ spread() }

// Fixed times are all equal to the mean.
type Fixed struct{}

// Exponential times are exponentially distributed.
type Exponential struct{}

func (Fixed) spread()       {}
func (Exponential) spread() {}
