// Package plan holds experiments: what load is sent, what fails meanwhile, and
// what is reported.
package plan

import "verbenabank/core/clock"

// Experiment is one run of load with its faults. It is immutable.
type Experiment struct {
	seed     uint64
	length   clock.Millis
	settle   clock.Millis
	timeout  clock.Millis
	within   clock.Millis
	rate     float64
	inFlight int
	answered float64
	routing  Routing
	retry    Retry
	second   bool
	keys     KeyDistribution
	mix      []RequestKind
	faults   []Fault
}

// Option sets one property of an Experiment.
type Option func(*Experiment)

// Defaults of an experiment.
const (
	DefaultSeed         uint64 = 1
	DefaultDuration            = 30 * clock.Second
	DefaultSettle              = 3 * clock.Second
	DefaultTimeout             = 6 * clock.Second
	DefaultAnswerWithin        = 1 * clock.Second
	DefaultRate                = 300.0 // requests a second
	DefaultMaxInFlight         = 2000
)

// New returns an experiment through the daemons, changed by opts.
func New(opts ...Option) Experiment {
	e := Experiment{
		seed: DefaultSeed, length: DefaultDuration, settle: DefaultSettle, timeout: DefaultTimeout, within: DefaultAnswerWithin,
		rate: DefaultRate, inFlight: DefaultMaxInFlight,
		routing: Daemons{}, retry: RetryNone{}, keys: NewKeyDistribution(1000, 1, nil),
	}
	for _, o := range opts {
		o(&e)
	}
	return e
}

// With returns the experiment changed by opts.
func (e Experiment) With(opts ...Option) Experiment {
	for _, o := range opts {
		o(&e)
	}
	return e
}

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option { return func(e *Experiment) { e.seed = seed } }

// WithDuration sets how long load is sent, after a time for the fleet to settle.
func WithDuration(length, settle clock.Millis) Option {
	return func(e *Experiment) { e.length, e.settle = length, settle }
}

// WithTimeout sets how long a caller waits, and after what time an answer counts
// as unavailable time.
func WithTimeout(span, within clock.Millis) Option {
	return func(e *Experiment) { e.timeout, e.within = span, within }
}

// WithRate sets the mean of requests a second, and how many may be in flight.
func WithRate(rate float64, inFlight int) Option {
	return func(e *Experiment) { e.rate, e.inFlight = rate, inFlight }
}

// WithMinAnsweredPercent sets the least share of requests, in percent, that must be
// answered.
func WithMinAnsweredPercent(percent float64) Option {
	return func(e *Experiment) { e.answered = percent }
}

// WithRouting sets who chooses the target of a request.
func WithRouting(r Routing) Option { return func(e *Experiment) { e.routing = r } }

// WithRetry sets what callers do with a request that was not answered.
func WithRetry(r Retry) Option { return func(e *Experiment) { e.retry = r } }

// WithConnectFailover sets whether callers try another daemon when a connection is
// refused.
func WithConnectFailover(second bool) Option { return func(e *Experiment) { e.second = second } }

// WithKeys sets which keys are asked for.
func WithKeys(k KeyDistribution) Option { return func(e *Experiment) { e.keys = k } }

// WithMix sets the kinds of requests.
func WithMix(mix ...RequestKind) Option { return func(e *Experiment) { e.mix = mix } }

// WithFaults sets what fails.
func WithFaults(faults ...Fault) Option { return func(e *Experiment) { e.faults = faults } }

// Seed returns the seed of all random choices.
func (e Experiment) Seed() uint64 { return e.seed }

// Duration returns how long load is sent.
func (e Experiment) Duration() clock.Millis { return e.length }

// Settle returns how long the fleet may settle once it is ready.
func (e Experiment) Settle() clock.Millis { return e.settle }

// Timeout returns how long a caller waits.
func (e Experiment) Timeout() clock.Millis { return e.timeout }

// AnswerWithin returns the time after which an answer counts as unavailable time.
func (e Experiment) AnswerWithin() clock.Millis { return e.within }

// Rate returns the mean of requests a second.
func (e Experiment) Rate() float64 { return e.rate }

// MaxInFlight returns how many requests may be in flight.
func (e Experiment) MaxInFlight() int { return e.inFlight }

// MinAnsweredPercent returns the least share of requests, in percent, that must be answered.
func (e Experiment) MinAnsweredPercent() float64 { return e.answered }

// Routing returns who chooses the target of a request.
func (e Experiment) Routing() Routing { return e.routing }

// Retry returns what callers do with a request that was not answered.
func (e Experiment) Retry() Retry { return e.retry }

// ConnectFailover reports whether callers try another daemon when a connection is
// refused.
func (e Experiment) ConnectFailover() bool { return e.second }

// Keys returns which keys are asked for.
func (e Experiment) Keys() KeyDistribution { return e.keys }

// Mix returns the kinds of requests.
func (e Experiment) Mix() []RequestKind { return e.mix }

// Faults returns what fails.
func (e Experiment) Faults() []Fault { return e.faults }
