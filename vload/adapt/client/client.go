// Package client sends requests as a caller does, once each, and tells how they
// ended.
package client

import (
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"verbenabank/core/clock"
	"verbenabank/core/state/result"
	"verbenabank/vload/query/body"
	"verbenabank/vload/state/call"
	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/plan"
)

const maxConnections = 4096 // to one server

// Client sends requests. It is safe for concurrent use.
type Client struct {
	http    fasthttp.Client
	routing plan.Routing
	headers map[string]string
}

// Option sets one property of a Client.
type Option func(*Client)

// WithRouting sets whether daemons or targets are asked.
func WithRouting(r plan.Routing) Option { return func(c *Client) { c.routing = r } }

// WithLayout sets where the services of the layout take their keys from.
func WithLayout(l layout.Layout) Option {
	return func(c *Client) {
		for _, s := range l.Services() {
			c.headers[s.Name()] = s.KeyHeader()
		}
	}
}

// New returns a client that asks daemons, and its clean-up function.
func New(opts ...Option) (*Client, func()) {
	c := &Client{
		http: fasthttp.Client{
			Dial:                      dial,
			MaxConnsPerHost:           maxConnections,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
		routing: plan.Daemons{}, headers: make(map[string]string),
	}
	for _, o := range opts {
		o(c)
	}
	return c, c.http.CloseIdleConnections
}

// Reply is the end of one attempt.
type Reply struct {
	outcome result.Outcome
	content call.BodyCheck
}

// Outcome returns how the attempt ended.
func (r Reply) Outcome() result.Outcome { return r.outcome }

// BodyCheck returns whether the answer was the caller's own.
func (r Reply) BodyCheck() call.BodyCheck { return r.content }

// Send sends the request to the server at address and waits until the deadline.
func (c *Client) Send(r call.Request, address string, deadline time.Time) Reply {
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI("http://" + address + "/" + r.Service() + "/" + r.Key())
	request.Header.SetMethod(r.Method())
	request.Header.Set(body.IDHeader, r.ID())
	request.Header.Set(body.KeyHeader, r.Key())
	request.Header.Set(body.ResponseBytesHeader, strconv.Itoa(r.ResponseBytes()))
	if name := c.headers[r.Service()]; name != "" {
		request.Header.Set(name, r.Key())
	}
	if r.UploadBytes() > 0 {
		request.SetBody(body.Generate(r.ID(), r.UploadBytes()))
	}
	if err := c.do(request, answer, deadline); err != nil {
		return Reply{outcome: broken(err), content: call.Unchecked{}}
	}
	reply := Reply{outcome: c.outcome(answer), content: call.Unchecked{}}
	if a, ok := reply.outcome.(result.Answered); ok && a.Status() == fasthttp.StatusOK {
		h := &answer.Header
		id, key, sum := h.Peek(body.IDHeader), h.Peek(body.KeyHeader), h.Peek(body.ChecksumHeader)
		reply.content = body.Check(r, string(id), string(key), string(sum), answer.Body())
	}
	return reply
}

// do sends a request. If idle connections turn out to be closed before anything
// was sent, it takes others.
func (c *Client) do(request *fasthttp.Request, answer *fasthttp.Response, deadline time.Time) error {
	for range maxConnections {
		err := c.http.DoDeadline(request, answer, deadline)
		if !errors.Is(err, errIdleClosed) {
			return err
		}
	}
	return errIdleClosed
}

// broken returns the outcome of an attempt without an answer.
func broken(err error) result.Outcome {
	var dial *fasthttp.ErrDialWithUpstream
	switch {
	case errors.Is(err, unix.ECONNREFUSED), errors.As(err, &dial), errors.Is(err, fasthttp.ErrNoFreeConns),
		errors.Is(err, errIdleClosed):
		return result.NewRefused(result.Unreachable, 0)
	case errors.Is(err, fasthttp.ErrTimeout):
		return result.NewUnknown(result.TimedOut)
	}
	return result.NewUnknown(result.Interrupted)
}

func (c *Client) outcome(answer *fasthttp.Response) result.Outcome {
	switch c.routing.(type) {
	case plan.Daemons:
		return told(answer)
	case plan.Modulo, plan.Random, plan.RoundRobin:
		return guessed(answer.StatusCode())
	}
	return result.NewUnknown(result.Interrupted)
}

// told returns the outcome that a daemon names in its answer.
func told(answer *fasthttp.Response) result.Outcome {
	reason := result.Reason(answer.Header.Peek("Verbena-Reason"))
	after, _ := strconv.ParseInt(string(answer.Header.Peek("Verbena-Retry-After-Ms")), 10, 64)
	switch string(answer.Header.Peek("Verbena-Outcome")) {
	case "answered":
		return result.NewAnswered(answer.StatusCode())
	case "refused":
		return result.NewRefused(reason, clock.Millis(after))
	}
	return result.NewUnknown(reason)
}

// guessed returns the outcome that a target's status stands for.
func guessed(status int) result.Outcome {
	switch status {
	case fasthttp.StatusServiceUnavailable:
		return result.NewRefused(result.Shed, 0)
	case fasthttp.StatusPreconditionFailed:
		return result.NewRefused(result.NotOwner, 0)
	case fasthttp.StatusGatewayTimeout:
		return result.NewUnknown(result.TimedOut)
	}
	return result.NewAnswered(status)
}
