// Package call holds a request and its reply on the way between the caller and
// the target, apart from any encoding.
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

// NewField returns the header field with the canonical name and value.
func NewField(name, value string) Field { return Field{name: name, value: value} }

// Name returns the canonical name.
func (f Field) Name() string { return f.name }

// Value returns the value.
func (f Field) Value() string { return f.value }

// Request is one attempt of a request. Its head is immutable; its body can be
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
	aim         clock.Millis
	repeatable  bool
	class       string
	distant     bool
}

// Option sets one property of a Request.
type Option func(*Request)

// WithFields sets the header fields.
func WithFields(fields []Field) Option { return func(r *Request) { r.fields = fields } }

// WithKey sets the key and its shard.
func WithKey(key string, s table.Shard) Option {
	return func(r *Request) { r.key, r.shard = key, s }
}

// WithID sets the identity of the request, for logs.
func WithID(id string) Option { return func(r *Request) { r.id = id } }

// WithPolicy sets the priority (0 is the highest), how many milliseconds are left until an
// answer loses most of its worth, 0 if that is not known, and whether the request may run more than once.
func WithPolicy(priority int, aim clock.Millis, repeatable bool) Option {
	return func(r *Request) {
		r.priority, r.aim, r.repeatable = priority, aim, repeatable
	}
}

// WithClass sets the class of requests that take about the same time, such as a route.
func WithClass(name string) Option { return func(r *Request) { r.class = name } }

// WithMember sets the incarnation that is to run the request.
func WithMember(i table.Incarnation) Option { return func(r *Request) { r.incarnation = i } }

// WithBody sets the body and its announced length in bytes, -1 if it is not
// announced.
func WithBody(body io.Reader, length int64) Option {
	return func(r *Request) { r.body, r.length = body, length }
}

// WithRemoteBody sets whether another daemon still has the body, so that it crosses the network
// when it is read.
func WithRemoteBody(yes bool) Option { return func(r *Request) { r.distant = yes } }

// NewRequest returns a request for a service without a key, fields and body,
// changed by opts.
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

// URI returns path and query.
func (r Request) URI() string { return r.uri }

// Fields returns the header fields; the caller must not change them.
func (r Request) Fields() []Field { return r.fields }

// Key returns the key, "" for pooled services.
func (r Request) Key() string { return r.key }

// Shard returns the shard of the key.
func (r Request) Shard() table.Shard { return r.shard }

// Incarnation returns the member that is to run the request.
func (r Request) Incarnation() table.Incarnation { return r.incarnation }

// Length returns the announced length of the body in bytes, -1 if unknown.
func (r Request) Length() int64 { return r.length }

// Body returns the body, nil if there is none.
func (r Request) Body() io.Reader { return r.body }

// HasRemoteBody reports whether another daemon still has the body.
func (r Request) HasRemoteBody() bool { return r.distant }

// WithLocalBody returns the request with a body that this daemon has read, in place of the distant one.
func (r Request) WithLocalBody(body io.Reader) Request {
	r.body, r.distant = body, false
	return r
}

// ID returns the identity of the request, for logs.
func (r Request) ID() string { return r.id }

// Priority returns the rank of the request; 0 is the highest.
func (r Request) Priority() int { return r.priority }

// LatencyGoal returns how many milliseconds were left, when the attempt was made, until an answer
// loses most of its worth.
func (r Request) LatencyGoal() clock.Millis { return r.aim }

// Repeatable reports whether the request may run more than once.
func (r Request) Repeatable() bool { return r.repeatable }

// Class returns the class of requests that take about the same time, "" if there is none.
func (r Request) Class() string { return r.class }
