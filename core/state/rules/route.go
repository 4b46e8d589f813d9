package rules

import (
	"slices"

	"verbenabank/core/clock"
)

// Idempotency says how often a request of a route may run: Repeatable, Once or Upload.
type Idempotency interface{ safety() }

// Repeatable requests may run more than once.
type Repeatable struct{}

// Once requests run at most once for each attempt of a caller.
type Once struct{}

// Upload requests run at most once and may have large bodies.
type Upload struct{}

func (Repeatable) safety() {}
func (Once) safety()       {}
func (Upload) safety()     {}

// WeightedService is a service that takes a share of a route's requests.
type WeightedService struct {
	service string
	weight  int
}

// NewWeightedService returns the part of a service; shares are as the weights of a route's parts.
func NewWeightedService(service string, weight int) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the name of the service.
func (p WeightedService) Service() string { return p.service }

// Weight returns the weight, 0 or more.
func (p WeightedService) Weight() int { return p.weight }

// Route sends the requests of a host below a path prefix to one or more services.
type Route struct {
	name     string
	host     string
	prefix   string
	safety   Idempotency
	timeout  clock.Millis
	aim      clock.Millis
	priority int
	attempts int
	parts    []WeightedService
}

// RouteOption sets one property of a Route.
type RouteOption func(*Route)

// NewRoute returns the route of a host and a path prefix, which begins and ends with a
// slash. Its requests run once, at one target, and rank last.
func NewRoute(name, host, prefix string, opts ...RouteOption) Route {
	r := Route{
		name: name, host: host, prefix: prefix, safety: Once{},
		timeout: DefaultDeadline, aim: DefaultDeadline, priority: LowestPriority, attempts: 1,
	}
	for _, o := range opts {
		o(&r)
	}
	return r
}

// LowestPriority is the rank of requests without one; 0 is the highest.
const LowestPriority = 9

// WithIdempotency sets how often a request may run.
func WithIdempotency(s Idempotency) RouteOption { return func(r *Route) { r.safety = s } }

// WithTimes sets the longest time in milliseconds that a caller is kept waiting, and the
// time within which an answer is worth most.
func WithTimes(timeout, aim clock.Millis) RouteOption {
	return func(r *Route) { r.timeout, r.aim = timeout, aim }
}

// WithPriority sets the rank, 0 being the highest.
func WithPriority(rank int) RouteOption { return func(r *Route) { r.priority = rank } }

// WithAttempts sets at how many targets one request may run at most.
func WithAttempts(count int) RouteOption { return func(r *Route) { r.attempts = count } }

// WithTrafficSplit sets the services that share the requests.
func WithTrafficSplit(parts ...WeightedService) RouteOption {
	return func(r *Route) { r.parts = slices.Clone(parts) }
}

// Name returns the name of the route.
func (r Route) Name() string { return r.name }

// Host returns the host name that the requests are for.
func (r Route) Host() string { return r.host }

// Prefix returns what the paths of the requests begin with.
func (r Route) Prefix() string { return r.prefix }

// Idempotency returns how often a request may run.
func (r Route) Idempotency() Idempotency { return r.safety }

// Timeout returns the longest time in milliseconds that a caller is kept waiting.
func (r Route) Timeout() clock.Millis { return r.timeout }

// LatencyGoal returns the time in milliseconds within which an answer is worth most.
func (r Route) LatencyGoal() clock.Millis { return r.aim }

// Priority returns the rank, 0 being the highest.
func (r Route) Priority() int { return r.priority }

// Attempts returns at how many targets one request may run at most.
func (r Route) Attempts() int { return r.attempts }

// TrafficSplit returns the services that share the requests, which must not be changed.
func (r Route) TrafficSplit() []WeightedService { return r.parts }

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	switch r.safety.(type) {
	case Repeatable:
		return true
	case Once, Upload:
		return false
	}
	return false
}

// Limits bound what callers may send.
type Limits struct {
	headBytes int
	bodyBytes int64
	headWait  clock.Millis
	idleWait  clock.Millis
}

// Limits that hold if the rules set none.
const (
	DefaultMaxHeaderBytes = 16 << 10
	DefaultHeaderTimeout  = 10 * clock.Second
	DefaultIdleTimeout    = clock.Minute
)

// NewLimits returns the limits: the bytes of a request's head and body, and how long in
// milliseconds a caller may take to send a head or keep a connection idle.
func NewLimits(headBytes int, bodyBytes int64, headWait, idleWait clock.Millis) Limits {
	return Limits{headBytes: headBytes, bodyBytes: bodyBytes, headWait: headWait, idleWait: idleWait}
}

// MaxHeaderBytes returns the greatest size of a request's head.
func (l Limits) MaxHeaderBytes() int { return l.headBytes }

// MaxBodyBytes returns the greatest size of a request's body.
func (l Limits) MaxBodyBytes() int64 { return l.bodyBytes }

// HeaderTimeout returns how long in milliseconds a caller may take to send a head.
func (l Limits) HeaderTimeout() clock.Millis { return l.headWait }

// IdleTimeout returns how long in milliseconds a caller may keep a connection idle.
func (l Limits) IdleTimeout() clock.Millis { return l.idleWait }
