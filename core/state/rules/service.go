package rules

import (
	"slices"

	"verbenabank/core/clock"
)

// Defaults of a service that its configuration does not set.
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
)

// Service is the configuration of one service. It is immutable.
type Service struct {
	name       string
	kind       Kind
	fencing    Fencing
	shedding   Shedding
	repeatable []string

	slots       int
	connections int
	queue       int
	queueWait   clock.Millis
	bodyBytes   int64

	deadline clock.Millis
	drain    clock.Millis
	warmUp   clock.Millis

	retryAttempts int
	retryPercent  int

	hotPercent int
	hotKeys    int

	weights Weights
}

// Option sets one property of a Service.
type Option func(*Service)

// NewService returns a service with defaults, changed by opts. It is pooled,
// unchecked and ambiguous in shedding, and only GET, HEAD and OPTIONS are
// repeatable, unless opts say otherwise.
func NewService(name string, opts ...Option) Service {
	s := Service{
		name: name, kind: Pooled{}, fencing: Unchecked{}, shedding: ShedAmbiguous{},
		repeatable: []string{"GET", "HEAD", "OPTIONS"},
		slots:      DefaultSlots, connections: DefaultConnections,
		queue: DefaultQueueLength, queueWait: DefaultQueueWait, bodyBytes: DefaultMaxBodyBytes,
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

// Kind returns how requests are spread.
func (s Service) Kind() Kind { return s.kind }

// Fencing returns whether targets check epochs.
func (s Service) Fencing() Fencing { return s.fencing }

// Shedding returns what a target's 503 proves.
func (s Service) Shedding() Shedding { return s.shedding }

// Repeatable reports whether requests with the HTTP method may run twice.
func (s Service) Repeatable(method string) bool { return slices.Contains(s.repeatable, method) }

// RepeatableMethods returns the repeatable HTTP methods.
func (s Service) RepeatableMethods() []string { return slices.Clone(s.repeatable) }

// Slots returns how many requests one target runs at once.
func (s Service) Slots() int { return s.slots }

// Connections returns how many connections one target accepts.
func (s Service) Connections() int { return s.connections }

// QueueLength returns how many requests may wait for a slot of one target.
func (s Service) QueueLength() int { return s.queue }

// QueueWait returns the longest wait for a slot.
func (s Service) QueueWait() clock.Millis { return s.queueWait }

// MaxBodyBytes returns the largest request body in bytes.
func (s Service) MaxBodyBytes() int64 { return s.bodyBytes }

// Deadline returns the time a request may take from entry to answer.
func (s Service) Deadline() clock.Millis { return s.deadline }

// Drain returns how long a leaving target may finish requests in flight.
func (s Service) Drain() clock.Millis { return s.drain }

// WarmUp returns how long a joining target takes to reach its full share.
func (s Service) WarmUp() clock.Millis { return s.warmUp }

// RetryAttempts returns the most attempts of one request, the first included.
func (s Service) RetryAttempts() int { return s.retryAttempts }

// RetryPercent returns how many retries are allowed for 100 first attempts.
func (s Service) RetryPercent() int { return s.retryPercent }

// HotPercent returns the share of a target's requests, in percent, from which a
// single key is moved alone.
func (s Service) HotPercent() int { return s.hotPercent }

// HotKeys returns the most keys that are placed alone.
func (s Service) HotKeys() int { return s.hotKeys }

// Weights returns how the users price the three measures.
func (s Service) Weights() Weights { return s.weights }
