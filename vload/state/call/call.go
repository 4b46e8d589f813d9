// Package call describes the requests of the load generator and their results.
package call

import (
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
)

// Request is one scheduled request. It is immutable.
type Request struct {
	id            string
	service       string
	key           string
	method        string
	uploadBytes   int
	responseBytes int
	due           time.Duration
}

// NewRequest returns a request that is due at an offset from the start of the load.
func NewRequest(id, service, key, method string, uploadBytes, responseBytes int, due time.Duration) Request {
	return Request{
		id: id, service: service, key: key, method: method,
		uploadBytes: uploadBytes, responseBytes: responseBytes, due: due,
	}
}

// ID returns the request ID, unique within the run.
func (r Request) ID() string { return r.id }

// Service returns the name of the service that the request is for.
func (r Request) Service() string { return r.service }

// Key returns the routing key of the request.
func (r Request) Key() string { return r.key }

// Method returns the HTTP method.
func (r Request) Method() string { return r.method }

// UploadBytes returns the length of the request body, 0 for no body.
func (r Request) UploadBytes() int { return r.uploadBytes }

// ResponseBytes returns the length of the response body that the request asks for.
func (r Request) ResponseBytes() int { return r.responseBytes }

// Due returns the scheduled time of the request as an offset from the start of the load.
func (r Request) Due() time.Duration { return r.due }

// Call is a request with its result. It is immutable.
type Call struct {
	request   Request
	server    string
	dueAt     clock.Millis
	latency   time.Duration
	outcome   result.Outcome
	bodyCheck BodyCheck
}

// New returns the result of a request. The server is the address of the last attempt, "" if the request
// was never sent; dueAt is on the boot clock, and the latency counts from there.
func New(r Request, server string, dueAt clock.Millis, latency time.Duration, outcome result.Outcome, check BodyCheck) Call {
	return Call{request: r, server: server, dueAt: dueAt, latency: latency, outcome: outcome, bodyCheck: check}
}

// Request returns the request as it was scheduled.
func (c Call) Request() Request { return c.request }

// Server returns the address of the daemon or target of the last attempt, "" if the request was never
// sent.
func (c Call) Server() string { return c.server }

// DueAt returns the time at which the request was due, on the boot clock.
func (c Call) DueAt() clock.Millis { return c.dueAt }

// Latency returns the time from the instant at which the request was due to its end. It includes any delay
// before the request was sent.
func (c Call) Latency() time.Duration { return c.latency }

// Outcome returns how the request ended as far as the caller knows.
func (c Call) Outcome() result.Outcome { return c.outcome }

// BodyCheck returns whether the response body was the expected one.
func (c Call) BodyCheck() BodyCheck { return c.bodyCheck }

// BodyCheck is the result of checking a response body: Unchecked, Intact, Crossed or Truncated.
type BodyCheck interface{ bodyCheck() }

// Unchecked means that there was no response with status 200 whose body could be checked.
type Unchecked struct{}

// Intact means that the body is the expected one, in full.
type Intact struct{}

// Crossed means that the response belongs to another request.
type Crossed struct{}

// Truncated means that the response has another length than requested, or that the target saw another
// checksum of the request body than the one sent.
type Truncated struct{}

func (Unchecked) bodyCheck() {}
func (Intact) bodyCheck()    {}
func (Crossed) bodyCheck()   {}
func (Truncated) bodyCheck() {}
