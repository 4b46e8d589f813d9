package relay

import (
	"verbenabank/core/clock"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/rules"
)

// Request is one request of a caller.
type Request struct {
	service    rules.Service
	facts      route.Attributes
	id         string
	method     string
	uri        string
	fields     []call.Field
	body       *Body
	deadline   clock.Millis
	aim        clock.Millis
	repeatable bool
	attempts   int
	percent    int
	priority   int
	class      string
}

// RequestOption sets one property of a Demand.
type RequestOption func(*Request)

// NewRequest returns the request of a service. It must be answered at the deadline, an
// instant on the relay's clock. It may run at as many targets as the service allows.
func NewRequest(s rules.Service, f route.Attributes, deadline clock.Millis, opts ...RequestOption) Request {
	d := Request{
		service: s, facts: f, deadline: deadline, aim: deadline,
		attempts: s.RetryAttempts(), percent: s.RetryPercent(), priority: rules.LowestPriority,
	}
	for _, o := range opts {
		o(&d)
	}
	return d
}

// WithMessage sets the identity, the method, and path with query.
func WithMessage(id, method, uri string) RequestOption {
	return func(d *Request) { d.id, d.method, d.uri = id, method, uri }
}

// WithFields sets the header fields to forward.
func WithFields(fields []call.Field) RequestOption { return func(d *Request) { d.fields = fields } }

// WithBody sets the body.
func WithBody(b *Body) RequestOption { return func(d *Request) { d.body = b } }

// WithRepeatable sets whether the request may run more than once.
func WithRepeatable(yes bool) RequestOption { return func(d *Request) { d.repeatable = yes } }

// WithRoute takes over what a route says of its requests. aim is the instant by which an
// answer is worth most.
func WithRoute(r rules.Route, aim clock.Millis) RequestOption {
	return func(d *Request) {
		d.class = r.Name()
		d.aim, d.priority, d.attempts, d.repeatable = min(aim, d.deadline), r.Priority(), r.Attempts(), r.Repeatable()
	}
}

// Method returns the method.
func (d Request) Method() string { return d.method }

// Deadline returns the instant by which the request must be answered.
func (d Request) Deadline() clock.Millis { return d.deadline }
