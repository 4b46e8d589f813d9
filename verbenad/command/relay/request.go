package relay

import (
	"verbenabank/core/clock"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/rules"
)

// Request is one request of a caller, independent of its protocol and of the attempts to serve it.
type Request struct {
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

// RequestOption configures a Request.
type RequestOption func(*Request)

// NewRequest returns a request to a service, routed by its attributes. deadline is an instant on
// the relay's clock. The service's settings give the number of attempts and the share of retries;
// unless WithRoute says otherwise, the request has the lowest priority and its latency goal is
// the deadline.
func NewRequest(s rules.Service, a route.Attributes, deadline clock.Millis, opts ...RequestOption) Request {
	q := Request{
		service: s, attributes: a, deadline: deadline, latencyGoal: deadline,
		maxAttempts: s.RetryAttempts(), retryPercent: s.RetryPercent(), priority: rules.LowestPriority,
	}
	for _, o := range opts {
		o(&q)
	}
	return q
}

// WithMessage sets the request ID, the method, and the path with the query.
func WithMessage(id, method, uri string) RequestOption {
	return func(q *Request) { q.id, q.method, q.uri = id, method, uri }
}

// WithFields sets the header fields to forward. They are not filtered.
func WithFields(fields []call.Field) RequestOption { return func(q *Request) { q.fields = fields } }

// WithBody sets the body; nil stands for none.
func WithBody(b *Body) RequestOption { return func(q *Request) { q.body = b } }

// WithRepeatable sets whether the request may run more than once; by default it may not.
func WithRepeatable(yes bool) RequestOption { return func(q *Request) { q.repeatable = yes } }

// WithRoute applies the settings of a route: class, priority, attempts and whether requests are
// repeatable. latencyGoal is the instant by which the response should arrive, at most the deadline.
func WithRoute(r rules.Route, latencyGoal clock.Millis) RequestOption {
	return func(q *Request) {
		q.class = r.Name()
		q.latencyGoal, q.priority, q.maxAttempts, q.repeatable = min(latencyGoal, q.deadline), r.Priority(), r.Attempts(), r.Repeatable()
	}
}

// Method returns the method that WithMessage set.
func (q Request) Method() string { return q.method }

// bodyLength returns the announced length of the body in bytes, 0 without a body, -1 if it is unknown.
func (q Request) bodyLength() int64 {
	if q.body == nil {
		return 0
	}
	return q.body.length
}

// Deadline returns the instant, on the relay's clock, by which the request must be answered.
func (q Request) Deadline() clock.Millis { return q.deadline }
