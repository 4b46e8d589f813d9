// Package client sends the requests of the load generator, each at most once, and
// classifies their outcomes.
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

// Client sends requests without retries. It is safe for concurrent use.
type Client struct {
	http    fasthttp.Client
	routing plan.Routing
	headers map[string]string
}

// Option sets one property of a Client.
type Option func(*Client)

// WithRouting sets whether responses come from daemons, which name the outcome in
// headers, or from targets, whose status stands for it. The default is daemons.
func WithRouting(r plan.Routing) Option { return func(c *Client) { c.routing = r } }

// WithLayout sets the request headers that carry the keys of the services. The default
// is none: the key is only in the path.
func WithLayout(l layout.Layout) Option {
	return func(c *Client) {
		for _, s := range l.Services() {
			c.headers[s.Name()] = s.KeyHeader()
		}
	}
}

// New returns a client and a function that closes its idle connections.
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

// Reply is the result of one attempt.
type Reply struct {
	outcome   result.Outcome
	bodyCheck call.BodyCheck
}

// Outcome returns the outcome of the attempt.
func (r Reply) Outcome() result.Outcome { return r.outcome }

// BodyCheck returns the result of the check of the response body. Only responses with
// status 200 are checked.
func (r Reply) BodyCheck() call.BodyCheck { return r.bodyCheck }

// Send sends the request to the server at address and waits for the response until
// the deadline.
func (c *Client) Send(r call.Request, address string, deadline time.Time) Reply {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
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
	if err := c.do(request, response, deadline); err != nil {
		return Reply{outcome: transportOutcome(err), bodyCheck: call.Unchecked{}}
	}
	reply := Reply{outcome: c.outcome(response), bodyCheck: call.Unchecked{}}
	if a, ok := reply.outcome.(result.Answered); ok && a.Status() == fasthttp.StatusOK {
		h := &response.Header
		id, key, sum := h.Peek(body.IDHeader), h.Peek(body.KeyHeader), h.Peek(body.ChecksumHeader)
		reply.bodyCheck = body.Check(r, string(id), string(key), string(sum), response.Body())
	}
	return reply
}

// do sends a request. It tries other connections as long as it gets idle ones that the
// server closed before anything was sent; this never sends a request twice.
func (c *Client) do(request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) error {
	for range maxConnections {
		err := c.http.DoDeadline(request, response, deadline)
		if !errors.Is(err, errIdleClosed) {
			return err
		}
	}
	return errIdleClosed
}

// transportOutcome returns the outcome of an attempt without a response.
func transportOutcome(err error) result.Outcome {
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

func (c *Client) outcome(response *fasthttp.Response) result.Outcome {
	switch c.routing.(type) {
	case plan.Daemons:
		return daemonOutcome(response)
	case plan.Modulo, plan.Random, plan.RoundRobin:
		return targetOutcome(response.StatusCode())
	}
	return result.NewUnknown(result.Interrupted)
}

// daemonOutcome returns the outcome that a daemon names in the response headers.
func daemonOutcome(response *fasthttp.Response) result.Outcome {
	reason := result.Reason(response.Header.Peek("Verbena-Reason"))
	retryAfter, _ := strconv.ParseInt(string(response.Header.Peek("Verbena-Retry-After-Ms")), 10, 64)
	switch string(response.Header.Peek("Verbena-Outcome")) {
	case "answered":
		return result.NewAnswered(response.StatusCode())
	case "refused":
		return result.NewRefused(reason, clock.Millis(retryAfter))
	}
	return result.NewUnknown(reason)
}

// targetOutcome returns the outcome that the status of a target stands for.
func targetOutcome(status int) result.Outcome {
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
