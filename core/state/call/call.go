// Package call holds requests and replies between the caller and the target, independent of
// any encoding.
package call

import (
	"io"

	"verbenabank/core/clock"
	"verbenabank/core/state/table"
)

// Field is one header field.
type Field struct {
	name  string
	value string
}

// NewField returns the header field. name must be in canonical form (net/textproto).
func NewField(name, value string) Field { return Field{name: name, value: value} }

// Name returns the canonical name.
func (f Field) Name() string { return f.name }

// Value returns the value of the field.
func (f Field) Value() string { return f.value }

// Request is one attempt of a request. It is immutable apart from its body, which can be
// read once.
type Request struct {
	service     string
	method      string
	uri         string
	fields      []Field
	key         string
	shard       table.Shard
	incarnation table.Incarnation
	length      int64
	body        io.Reader
	id          string
	priority    int
	latencyGoal clock.Millis
	repeatable  bool
	class       string
	remoteBody  bool
	origin      string
}

// Option sets one property of a Request.
type Option func(*Request)

// WithFields sets the header fields.
func WithFields(fields []Field) Option { return func(r *Request) { r.fields = fields } }

// WithKey sets the key and its shard.
func WithKey(key string, s table.Shard) Option {
	return func(r *Request) { r.key, r.shard = key, s }
}

// WithID sets the request ID, which is the same for each attempt of a request.
func WithID(id string) Option { return func(r *Request) { r.id = id } }

// WithPolicy sets the priority (0 is the highest), the time in milliseconds that is left to meet
// the latency goal, 0 if there is none, and whether the request may run more than once.
func WithPolicy(priority int, latencyGoal clock.Millis, repeatable bool) Option {
	return func(r *Request) {
		r.priority, r.latencyGoal, r.repeatable = priority, latencyGoal, repeatable
	}
}

// WithClass sets the class of the request. Requests of one class, such as those of a route,
// take about the same time, so that their service time is estimated together.
func WithClass(name string) Option { return func(r *Request) { r.class = name } }

// WithOrigin sets the service of the instance where the request entered, "" if it is not told.
func WithOrigin(service string) Option { return func(r *Request) { r.origin = service } }

// WithMember sets the member whose target is to run the request.
func WithMember(i table.Incarnation) Option { return func(r *Request) { r.incarnation = i } }

// WithBody sets the body and its declared length in bytes, -1 if no length is declared.
func WithBody(body io.Reader, length int64) Option {
	return func(r *Request) { r.body, r.length = body, length }
}

// WithRemoteBody sets whether the body is still at another daemon, so that reading it causes
// network traffic.
func WithRemoteBody(yes bool) Option { return func(r *Request) { r.remoteBody = yes } }

// NewRequest returns a request for a service with the options opts. By default it has no key,
// header fields or body.
func NewRequest(service, method, uri string, opts ...Option) Request {
	r := Request{service: service, method: method, uri: uri}
	for _, o := range opts {
		o(&r)
	}
	return r
}

// Service returns the name of the service.
func (r Request) Service() string { return r.service }

// Method returns the HTTP method.
func (r Request) Method() string { return r.method }

// URI returns the path with the query.
func (r Request) URI() string { return r.uri }

// Fields returns the header fields. The caller must not modify the list.
func (r Request) Fields() []Field { return r.fields }

// Key returns the key, "" for pooled services.
func (r Request) Key() string { return r.key }

// Shard returns the shard of the key.
func (r Request) Shard() table.Shard { return r.shard }

// Incarnation returns the member whose target is to run the request.
func (r Request) Incarnation() table.Incarnation { return r.incarnation }

// Length returns the declared length of the body in bytes, -1 if it is unknown.
func (r Request) Length() int64 { return r.length }

// BodyLength returns the declared length of the body in bytes, 0 if there is no body, -1 if the length is unknown.
func (r Request) BodyLength() int64 {
	if r.body == nil {
		return 0
	}
	return r.length
}

// Body returns the body, nil if there is none.
func (r Request) Body() io.Reader { return r.body }

// HasRemoteBody reports whether the body is still at another daemon.
func (r Request) HasRemoteBody() bool { return r.remoteBody }

// WithLocalBody returns the request with a body that this daemon has received, in place of the
// remote one.
func (r Request) WithLocalBody(body io.Reader) Request {
	r.body, r.remoteBody = body, false
	return r
}

// ID returns the request ID, which is the same for each attempt of a request.
func (r Request) ID() string { return r.id }

// Priority returns the priority; 0 is the highest.
func (r Request) Priority() int { return r.priority }

// LatencyGoal returns the time in milliseconds that was left to meet the latency goal when the attempt
// was made, 0 if there is no goal. A response after that has lost most of its value.
func (r Request) LatencyGoal() clock.Millis { return r.latencyGoal }

// Repeatable reports whether the request may run more than once.
func (r Request) Repeatable() bool { return r.repeatable }

// Origin returns the service of the instance where the request entered, "" if it is not known.
func (r Request) Origin() string { return r.origin }

// Class returns the class of requests with about the same service time, "" if there is none.
func (r Request) Class() string { return r.class }
