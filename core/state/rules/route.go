package rules

import (
	"slices"

	"verbenabank/core/clock"
)

// Idempotency says whether a request of a route may run more than once: Repeatable, Once or Upload.
type Idempotency interface{ idempotency() }

// Repeatable requests may run more than once.
type Repeatable struct{}

// Once requests run at most once each time that a caller sends them.
type Once struct{}

// Upload requests run at most once and may have large bodies.
type Upload struct{}

func (Repeatable) idempotency() {}
func (Once) idempotency()       {}
func (Upload) idempotency()     {}

// WeightedService is a service with its weight in the traffic split of a route.
type WeightedService struct {
	service string
	weight  int
}

// NewWeightedService returns the service with its weight. The share of a service in the requests of a
// route is its weight divided by the sum of the weights.
func NewWeightedService(service string, weight int) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the name of the service.
func (s WeightedService) Service() string { return s.service }

// Weight returns the weight, 0 or more.
func (s WeightedService) Weight() int { return s.weight }

// Route maps the requests for a host and path prefix to one or more services.
type Route struct {
	name        string
	host        string
	prefix      string
	idempotency Idempotency
	timeout     clock.Millis
	latencyGoal clock.Millis
	priority    int
	attempts    int
	split       []WeightedService
}

// RouteOption sets one property of a Route.
type RouteOption func(*Route)

// NewRoute returns the route of a host and a path prefix, which begins and ends with a
// slash. By default its requests have one attempt, run at most once and have the lowest
// priority.
func NewRoute(name, host, prefix string, opts ...RouteOption) Route {
	r := Route{
		name: name, host: host, prefix: prefix, idempotency: Once{},
		timeout: DefaultDeadline, latencyGoal: DefaultDeadline, priority: LowestPriority, attempts: 1,
	}
	for _, o := range opts {
		o(&r)
	}
	return r
}

// LowestPriority is the priority of requests for which none is set; 0 is the highest.
const LowestPriority = 9

// WithIdempotency sets whether requests may run more than once.
func WithIdempotency(k Idempotency) RouteOption { return func(r *Route) { r.idempotency = k } }

// WithTimes sets the maximum time that a caller waits for a response, and the latency goal, both
// in milliseconds.
func WithTimes(timeout, latencyGoal clock.Millis) RouteOption {
	return func(r *Route) { r.timeout, r.latencyGoal = timeout, latencyGoal }
}

// WithPriority sets the priority; 0 is the highest.
func WithPriority(priority int) RouteOption { return func(r *Route) { r.priority = priority } }

// WithAttempts sets the maximum number of attempts of a request, each at another target.
func WithAttempts(count int) RouteOption { return func(r *Route) { r.attempts = count } }

// WithTrafficSplit sets the services that receive the requests, by weight.
func WithTrafficSplit(services ...WeightedService) RouteOption {
	return func(r *Route) { r.split = slices.Clone(services) }
}

// Name returns the name of the route.
func (r Route) Name() string { return r.name }

// Host returns the host name that requests must be addressed to.
func (r Route) Host() string { return r.host }

// Prefix returns the path prefix, which begins and ends with a slash.
func (r Route) Prefix() string { return r.prefix }

// Idempotency returns whether requests may run more than once.
func (r Route) Idempotency() Idempotency { return r.idempotency }

// Timeout returns the maximum time in milliseconds that a caller waits for a response.
func (r Route) Timeout() clock.Millis { return r.timeout }

// LatencyGoal returns the latency goal in milliseconds: a later response has lost most of its value.
func (r Route) LatencyGoal() clock.Millis { return r.latencyGoal }

// Priority returns the priority; 0 is the highest.
func (r Route) Priority() int { return r.priority }

// Attempts returns the maximum number of attempts of a request, each at another target.
func (r Route) Attempts() int { return r.attempts }

// TrafficSplit returns the services that receive the requests, with their weights. The caller must not
// modify the list.
func (r Route) TrafficSplit() []WeightedService { return r.split }

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	switch r.idempotency.(type) {
	case Repeatable:
		return true
	case Once, Upload:
		return false
	}
	return false
}

// Limits restricts the requests and connections of callers.
type Limits struct {
	maxHeaderBytes int
	maxBodyBytes   int64
	headerTimeout  clock.Millis
	idleTimeout    clock.Millis
}

// Defaults of limits that the configuration does not set.
const (
	DefaultMaxHeaderBytes = 16 << 10
	DefaultHeaderTimeout  = 10 * clock.Second
	DefaultIdleTimeout    = clock.Minute
)

// NewLimits returns the limits: the maximum size of the header and of the body of a request in
// bytes, and how long in milliseconds a caller may take to send a header or keep a connection
// idle.
func NewLimits(maxHeaderBytes int, maxBodyBytes int64, headerTimeout, idleTimeout clock.Millis) Limits {
	return Limits{
		maxHeaderBytes: maxHeaderBytes, maxBodyBytes: maxBodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout,
	}
}

// MaxHeaderBytes returns the maximum size of the header of a request in bytes.
func (l Limits) MaxHeaderBytes() int { return l.maxHeaderBytes }

// MaxBodyBytes returns the maximum size of the body of a request in bytes.
func (l Limits) MaxBodyBytes() int64 { return l.maxBodyBytes }

// HeaderTimeout returns how long in milliseconds a caller may take to send the header of a request.
func (l Limits) HeaderTimeout() clock.Millis { return l.headerTimeout }

// IdleTimeout returns how long in milliseconds a caller may keep a connection idle.
func (l Limits) IdleTimeout() clock.Millis { return l.idleTimeout }
