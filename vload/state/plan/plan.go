// Package plan describes experiments: the load that is sent, the faults that are injected meanwhile, and
// the threshold for a pass.
package plan

import "verbenabank/core/clock"

// Experiment describes the load and the faults of one run. It is immutable.
type Experiment struct {
	seed               uint64
	duration           clock.Millis
	settle             clock.Millis
	timeout            clock.Millis
	answerWithin       clock.Millis
	rate               float64
	maxInFlight        int
	minAnsweredPercent float64
	routing            Routing
	retry              Retry
	connectFailover    bool
	keys               KeyDistribution
	mix                []RequestKind
	faults             []Fault
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
	DefaultMaxInFlight         = 2000  // requests
)

// New returns an experiment that routes through the daemons, with the defaults changed by opts.
func New(opts ...Option) Experiment {
	e := Experiment{
		seed: DefaultSeed, duration: DefaultDuration, settle: DefaultSettle, timeout: DefaultTimeout, answerWithin: DefaultAnswerWithin,
		rate: DefaultRate, maxInFlight: DefaultMaxInFlight,
		routing: Daemons{}, retry: RetryNone{}, keys: NewKeyDistribution(1000, 1, nil),
	}
	for _, o := range opts {
		o(&e)
	}
	return e
}

// With returns a copy of the experiment changed by opts.
func (e Experiment) With(opts ...Option) Experiment {
	for _, o := range opts {
		o(&e)
	}
	return e
}

// WithSeed sets the seed of all random choices of the load generator: arrival times, keys, kinds of
// requests and targets.
func WithSeed(seed uint64) Option { return func(e *Experiment) { e.seed = seed } }

// WithDuration sets how long load is sent, and the settling time between the readiness of the fleet and the
// start of the load.
func WithDuration(duration, settle clock.Millis) Option {
	return func(e *Experiment) { e.duration, e.settle = duration, settle }
}

// WithTimeout sets how long a caller waits for all attempts of a request, and the latency above which an
// answer counts as unavailability.
func WithTimeout(timeout, answerWithin clock.Millis) Option {
	return func(e *Experiment) { e.timeout, e.answerWithin = timeout, answerWithin }
}

// WithRate sets the mean number of requests per second, and the limit of requests in flight.
func WithRate(rate float64, maxInFlight int) Option {
	return func(e *Experiment) { e.rate, e.maxInFlight = rate, maxInFlight }
}

// WithMinAnsweredPercent sets the least share of requests, in percent, that must be answered for the experiment to
// pass.
func WithMinAnsweredPercent(percent float64) Option {
	return func(e *Experiment) { e.minAnsweredPercent = percent }
}

// WithRouting sets how the target of a request is chosen.
func WithRouting(r Routing) Option { return func(e *Experiment) { e.routing = r } }

// WithRetry sets the retry policy of callers.
func WithRetry(r Retry) Option { return func(e *Experiment) { e.retry = r } }

// WithConnectFailover sets whether callers fail over to another daemon when a connection is refused.
func WithConnectFailover(enabled bool) Option {
	return func(e *Experiment) { e.connectFailover = enabled }
}

// WithKeys sets the distribution of requests over keys.
func WithKeys(k KeyDistribution) Option { return func(e *Experiment) { e.keys = k } }

// WithMix sets the kinds of requests. An empty mix sends no load.
func WithMix(mix ...RequestKind) Option { return func(e *Experiment) { e.mix = mix } }

// WithFaults sets the faults to inject, in any order.
func WithFaults(faults ...Fault) Option { return func(e *Experiment) { e.faults = faults } }

// Seed returns the seed of all random choices of the load generator.
func (e Experiment) Seed() uint64 { return e.seed }

// Duration returns how long load is sent.
func (e Experiment) Duration() clock.Millis { return e.duration }

// Settle returns the settling time between the readiness of the fleet and the start of the load.
func (e Experiment) Settle() clock.Millis { return e.settle }

// Timeout returns how long a caller waits for all attempts of a request.
func (e Experiment) Timeout() clock.Millis { return e.timeout }

// AnswerWithin returns the latency above which an answer counts as unavailability.
func (e Experiment) AnswerWithin() clock.Millis { return e.answerWithin }

// Rate returns the mean number of requests per second.
func (e Experiment) Rate() float64 { return e.rate }

// MaxInFlight returns the limit of requests in flight. Requests above it are not sent.
func (e Experiment) MaxInFlight() int { return e.maxInFlight }

// MinAnsweredPercent returns the least share of requests, in percent, that must be answered for the experiment to
// pass; 0 sets no threshold.
func (e Experiment) MinAnsweredPercent() float64 { return e.minAnsweredPercent }

// Routing returns how the target of a request is chosen.
func (e Experiment) Routing() Routing { return e.routing }

// Retry returns the retry policy of callers.
func (e Experiment) Retry() Retry { return e.retry }

// ConnectFailover reports whether callers fail over to another daemon when a connection is refused.
func (e Experiment) ConnectFailover() bool { return e.connectFailover }

// Keys returns the distribution of requests over keys.
func (e Experiment) Keys() KeyDistribution { return e.keys }

// Mix returns the kinds of requests. The caller must not change them.
func (e Experiment) Mix() []RequestKind { return e.mix }

// Faults returns the faults to inject, in any order. The caller must not change them.
func (e Experiment) Faults() []Fault { return e.faults }
