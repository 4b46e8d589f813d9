// Package call holds what the load tool saw of one request.
package call

import (
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

// Request is one request to be sent.
type Request struct {
	id          string
	service     string
	key         string
	method      string
	uploadBytes int
	answerBytes int
	due         time.Duration
}

// NewRequest returns a request that is due at a time after the start of the load.
func NewRequest(id, service, key, method string, uploadBytes, answerBytes int, due time.Duration) Request {
	return Request{
		id: id, service: service, key: key, method: method,
		uploadBytes: uploadBytes, answerBytes: answerBytes, due: due,
	}
}

// ID returns the ID, unique in its run.
func (r Request) ID() string { return r.id }

// Service returns the service that is asked.
func (r Request) Service() string { return r.service }

// Key returns the key of the request.
func (r Request) Key() string { return r.key }

// Method returns the HTTP method.
func (r Request) Method() string { return r.method }

// UploadBytes returns the length of the request body.
func (r Request) UploadBytes() int { return r.uploadBytes }

// ResponseBytes returns the length of the answer that is asked for.
func (r Request) ResponseBytes() int { return r.answerBytes }

// Due returns when the request is to be sent, counted from the start of the load.
func (r Request) Due() time.Duration { return r.due }

// Call is a request with its end.
type Call struct {
	request Request
	server  string
	at      clock.Millis
	latency time.Duration
	outcome result.Outcome
	content BodyCheck
}

// New returns a call that was sent to the server at an address, was due at an
// instant on the boot clock and ended latency later.
func New(r Request, server string, at clock.Millis, latency time.Duration, outcome result.Outcome, content BodyCheck) Call {
	return Call{request: r, server: server, at: at, latency: latency, outcome: outcome, content: content}
}

// Request returns what was sent.
func (c Call) Request() Request { return c.request }

// Server returns the address of the daemon or target that was asked last.
func (c Call) Server() string { return c.server }

// DueAt returns the instant at which the request was due.
func (c Call) DueAt() clock.Millis { return c.at }

// Latency returns the time from the instant the request was due to its end.
func (c Call) Latency() time.Duration { return c.latency }

// Outcome returns how the request ended, as the caller was told.
func (c Call) Outcome() result.Outcome { return c.outcome }

// BodyCheck returns whether the answer was the caller's own.
func (c Call) BodyCheck() BodyCheck { return c.content }

// BodyCheck says what an answer held: Absent, Whole, Crossed or Truncated.
type BodyCheck interface{ content() }

// Unchecked content is that of a request without an answer of the target.
type Unchecked struct{}

// Intact content is the answer to the caller's own request.
type Intact struct{}

// Crossed content belongs to another request.
type Crossed struct{}

// Truncated content is of another length or checksum than it should be.
type Truncated struct{}

func (Unchecked) content() {}
func (Intact) content()    {}
func (Crossed) content()   {}
func (Truncated) content() {}
