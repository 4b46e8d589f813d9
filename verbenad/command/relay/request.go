package relay

import (
	"verbenabank/core/clock"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/rules"
)

// Demand is one request of a caller, independent of its protocol and of the attempts to serve it.
type Demand struct {
	service      rules.Service
	attributes   route.Attributes
	id           string
	method       string
	uri          string
	fields       []call.Field
	body         *Body
	deadline     clock.Millis
	latencyGoal  clock.Millis
	repeatable   bool
	maxAttempts  int
	retryPercent int
	priority     int
	class        string
}

// DemandOption configures a Request.
type DemandOption func(*Demand)

// NewDemand returns a request to a service, routed by its attributes. deadline is an instant on
// the relay's clock. The service's settings give the number of attempts and the share of retries;
// unless WithRoute says otherwise, the request has the lowest priority and its latency goal is
// the deadline.
func NewDemand(s rules.Service, f route.Attributes, deadline clock.Millis, opts ...DemandOption) Demand {
	q := Demand{
		service: s, attributes: f, deadline: deadline, latencyGoal: deadline,
		maxAttempts: s.RetryAttempts(), retryPercent: s.RetryPercent(), priority: rules.LowestPriority,
	}
	for _, o := range opts {
		o(&q)
	}
	return q
}

// WithMessage sets the request ID, the method, and the path with the query.
func WithMessage(id, method, uri string) DemandOption {
	return func(q *Demand) { q.id, q.method, q.uri = id, method, uri }
}

// WithFields sets the header fields to forward. They are not filtered.
func WithFields(fields []call.Field) DemandOption { return func(q *Demand) { q.fields = fields } }

// WithBody sets the body; nil stands for none.
func WithBody(b *Body) DemandOption { return func(q *Demand) { q.body = b } }

// WithRepeatable sets whether the request may run more than once; by default it may not.
func WithRepeatable(yes bool) DemandOption { return func(q *Demand) { q.repeatable = yes } }

// WithRoute applies the settings of a route: class, priority, attempts and whether requests are
// repeatable. latencyGoal is the instant by which the answer should arrive, at most the deadline.
func WithRoute(r rules.Route, latencyGoal clock.Millis) DemandOption {
	return func(q *Demand) {
		q.class = r.Name()
		q.latencyGoal, q.priority, q.maxAttempts, q.repeatable = min(latencyGoal, q.deadline), r.Priority(), r.Attempts(), r.Repeatable()
	}
}

// Method returns the method that WithMessage set.
func (q Demand) Method() string { return q.method }

// Deadline returns the instant, on the relay's clock, by which the request must be answered.
func (q Demand) Deadline() clock.Millis { return q.deadline }
