package rules

import (
	"slices"

	"verbenabank/core/clock"
)

// Defaults of properties that the configuration of a service does not set.
const (
	DefaultShards                  = 64
	DefaultSlots                   = 12
	DefaultConnections             = 130
	DefaultQueueLength             = 64
	DefaultQueueWait               = 500 * clock.Millisecond
	DefaultDeadline                = 5 * clock.Second
	DefaultDrain                   = 3 * clock.Second
	DefaultWarmUp                  = 2 * clock.Second
	DefaultMaxBodyBytes      int64 = 64 << 20
	DefaultRetryAttempts           = 3
	DefaultRetryPercent            = 10
	DefaultHotPercent              = 5
	DefaultHotKeys                 = 8
	DefaultUnavailableWeight       = 1.0
	DefaultChurnWeight             = 1.0
	DefaultImbalanceWeight         = 1.0
	DefaultHealthPath              = "/health"
)

// Service is the configuration of one service. It is immutable.
type Service struct {
	name       string
	kind       Kind
	fencing    Fencing
	shedding   Shedding
	repeatable []string
	healthPath string

	slots        int
	connections  int
	queueLength  int
	queueWait    clock.Millis
	maxBodyBytes int64

	deadline clock.Millis
	drain    clock.Millis
	warmUp   clock.Millis

	retryAttempts int
	retryPercent  int

	hotPercent int
	hotKeys    int

	weights Weights

	coldRate float64
	coldTime clock.Millis
}

// Option sets one property of a Service.
type Option func(*Service)

// NewService returns a service with the options opts. By default it is Pooled, Unchecked and
// ShedAmbiguous, and only GET, HEAD and OPTIONS are repeatable.
func NewService(name string, opts ...Option) Service {
	s := Service{
		name: name, kind: Pooled{}, fencing: Unchecked{}, shedding: ShedAmbiguous{},
		repeatable: []string{"GET", "HEAD", "OPTIONS"}, healthPath: DefaultHealthPath,
		slots: DefaultSlots, connections: DefaultConnections,
		queueLength: DefaultQueueLength, queueWait: DefaultQueueWait, maxBodyBytes: DefaultMaxBodyBytes,
		deadline: DefaultDeadline, drain: DefaultDrain, warmUp: DefaultWarmUp,
		retryAttempts: DefaultRetryAttempts, retryPercent: DefaultRetryPercent,
		hotPercent: DefaultHotPercent, hotKeys: DefaultHotKeys,
		weights: NewWeights(DefaultUnavailableWeight, DefaultChurnWeight, DefaultImbalanceWeight),
	}
	for _, o := range opts {
		o(&s)
	}
	return s
}

// Name returns the name of the service, which is also the first path segment of
// its requests.
func (s Service) Name() string { return s.name }

// Kind returns how requests are distributed over the targets.
func (s Service) Kind() Kind { return s.kind }

// Fencing returns whether targets check the epoch of requests.
func (s Service) Fencing() Fencing { return s.fencing }

// Shedding returns whether status 503 proves that the target did not run the request.
func (s Service) Shedding() Shedding { return s.shedding }

// Repeatable reports whether requests with the HTTP method may run more than once.
func (s Service) Repeatable(method string) bool { return slices.Contains(s.repeatable, method) }

// RepeatableMethods returns the HTTP methods whose requests may run more than once.
func (s Service) RepeatableMethods() []string { return slices.Clone(s.repeatable) }

// HealthPath returns the path of health requests to targets.
func (s Service) HealthPath() string { return s.healthPath }

// Slots returns the maximum number of requests that run at one target at once.
func (s Service) Slots() int { return s.slots }

// Connections returns the maximum number of connections to one target.
func (s Service) Connections() int { return s.connections }

// QueueLength returns how many requests may wait for a slot of one target.
func (s Service) QueueLength() int { return s.queueLength }

// QueueWait returns the maximum time that a request waits for a slot.
func (s Service) QueueWait() clock.Millis { return s.queueWait }

// MaxBodyBytes returns the maximum size of a request body in bytes.
func (s Service) MaxBodyBytes() int64 { return s.maxBodyBytes }

// Deadline returns the maximum time from the arrival of a request to its response.
func (s Service) Deadline() clock.Millis { return s.deadline }

// Drain returns how long a leaving target may take to finish its requests in flight.
func (s Service) Drain() clock.Millis { return s.drain }

// WarmUp returns how long the share of a joining target grows until it is full (slow start).
func (s Service) WarmUp() clock.Millis { return s.warmUp }

// RetryAttempts returns the maximum number of attempts of a request, including the first.
func (s Service) RetryAttempts() int { return s.retryAttempts }

// RetryPercent returns the retry budget: the retries allowed per 100 first attempts.
func (s Service) RetryPercent() int { return s.retryPercent }

// HotPercent returns the share of the requests of a target, in percent, from which a key is hot
// and gets a dedicated shard.
func (s Service) HotPercent() int { return s.hotPercent }

// HotKeys returns the maximum number of keys with a dedicated shard.
func (s Service) HotKeys() int { return s.hotKeys }

// Weights returns the weights of the objectives of placement.
func (s Service) Weights() Weights { return s.weights }

// ColdRate returns how many requests per second a target takes that has just started or lost its caches, 0 if it takes
// any number.
func (s Service) ColdRate() float64 { return s.coldRate }

// ColdTime returns for how long a target stays cold after its start, 0 if that is not known.
func (s Service) ColdTime() clock.Millis { return s.coldTime }
