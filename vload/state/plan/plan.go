// Package plan holds experiments: what load is sent, what fails meanwhile, and
// what is reported.
package plan

import "verbenabank/core/clock"

// Experiment is one run of load with its faults. It is immutable.
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
	keys               Keys
	mix                []Share
	faults             []Fault
}

// Option sets one property of an Experiment.
type Option func(*Experiment)

// Defaults of an experiment.
const (
	DefaultSeed         uint64 = 1
	DefaultLength              = 30 * clock.Second
	DefaultSettle              = 3 * clock.Second
	DefaultTimeout             = 6 * clock.Second
	DefaultAnswerWithin        = 1 * clock.Second
	DefaultRate                = 300.0 // requests a second
	DefaultInFlight            = 2000
)

// New returns an experiment through the daemons, changed by opts.
func New(opts ...Option) Experiment {
	e := Experiment{
		seed: DefaultSeed, duration: DefaultLength, settle: DefaultSettle, timeout: DefaultTimeout, answerWithin: DefaultAnswerWithin,
		rate: DefaultRate, maxInFlight: DefaultInFlight,
		routing: Daemons{}, retry: RetryNone{}, keys: NewKeys(1000, 1, nil),
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

// WithLength sets how long load is sent, after a time for the fleet to settle.
func WithLength(length, settle clock.Millis) Option {
	return func(e *Experiment) { e.duration, e.settle = length, settle }
}

// WithTimeout sets how long a caller waits, and after what time an answer counts
// as unavailable time.
func WithTimeout(span, within clock.Millis) Option {
	return func(e *Experiment) { e.timeout, e.answerWithin = span, within }
}

// WithRate sets the mean of requests a second, and how many may be in flight.
func WithRate(rate float64, inFlight int) Option {
	return func(e *Experiment) { e.rate, e.maxInFlight = rate, inFlight }
}

// WithAnswered sets the least share of requests, in percent, that must be
// answered.
func WithAnswered(percent float64) Option {
	return func(e *Experiment) { e.minAnsweredPercent = percent }
}

// WithRouting sets who chooses the target of a request.
func WithRouting(r Routing) Option { return func(e *Experiment) { e.routing = r } }

// WithRetry sets what callers do with a request that was not answered.
func WithRetry(r Retry) Option { return func(e *Experiment) { e.retry = r } }

// WithSecondEntry sets whether callers try another daemon when a connection is
// refused.
func WithSecondEntry(second bool) Option { return func(e *Experiment) { e.connectFailover = second } }

// WithKeys sets which keys are asked for.
func WithKeys(k Keys) Option { return func(e *Experiment) { e.keys = k } }

// WithMix sets the kinds of requests.
func WithMix(mix ...Share) Option { return func(e *Experiment) { e.mix = mix } }

// WithFaults sets what fails.
func WithFaults(faults ...Fault) Option { return func(e *Experiment) { e.faults = faults } }

// Seed returns the seed of all random choices.
func (e Experiment) Seed() uint64 { return e.seed }

// Length returns how long load is sent.
func (e Experiment) Length() clock.Millis { return e.duration }

// Settle returns how long the fleet may settle once it is ready.
func (e Experiment) Settle() clock.Millis { return e.settle }

// Timeout returns how long a caller waits.
func (e Experiment) Timeout() clock.Millis { return e.timeout }

// AnswerWithin returns the time after which an answer counts as unavailable time.
func (e Experiment) AnswerWithin() clock.Millis { return e.answerWithin }

// Rate returns the mean of requests a second.
func (e Experiment) Rate() float64 { return e.rate }

// InFlight returns how many requests may be in flight.
func (e Experiment) InFlight() int { return e.maxInFlight }

// Answered returns the least share of requests, in percent, that must be answered.
func (e Experiment) Answered() float64 { return e.minAnsweredPercent }

// Routing returns who chooses the target of a request.
func (e Experiment) Routing() Routing { return e.routing }

// Retry returns what callers do with a request that was not answered.
func (e Experiment) Retry() Retry { return e.retry }

// SecondEntry reports whether callers try another daemon when a connection is
// refused.
func (e Experiment) SecondEntry() bool { return e.connectFailover }

// Keys returns which keys are asked for.
func (e Experiment) Keys() Keys { return e.keys }

// Mix returns the kinds of requests.
func (e Experiment) Mix() []Share { return e.mix }

// Faults returns what fails.
func (e Experiment) Faults() []Fault { return e.faults }
