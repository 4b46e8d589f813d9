// Package extend sends lease extensions to the local target: the lease of requests in flight
// there ends later than was stated when they were sent.
package extend

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
)

const (
	// Path is where a target that checks leases accepts extensions by PUT.
	Path = "/verbena/lease"
	// DefaultTimeout bounds one call. It is shorter than the interval between two renewals.
	DefaultTimeout = 150 * time.Millisecond
	// maxResponseBytes is the largest accepted response body in bytes.
	maxResponseBytes = 64 << 10
)

// Extender sends lease extensions to the current target. It is safe for concurrent use.
type Extender struct {
	timeout time.Duration
	client  *fasthttp.Client

	mu          sync.Mutex
	address     string
	unsupported bool // the target does not support extensions
}

// Option configures an Extender.
type Option func(*Extender)

// WithTimeout replaces DefaultTimeout as the limit of one call.
func WithTimeout(timeout time.Duration) Option { return func(e *Extender) { e.timeout = timeout } }

// New returns an extender without a target, and a function that removes the target and closes
// its connection.
func New(opts ...Option) (*Extender, func()) {
	e := &Extender{timeout: DefaultTimeout}
	for _, o := range opts {
		o(e)
	}
	e.client = &fasthttp.Client{
		MaxConnsPerHost:           1,
		MaxConnWaitTimeout:        e.timeout,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxResponseBytes,
		NoDefaultUserAgentHeader:  true,
	}
	return e, func() { e.SetAddress("") }
}

// SetAddress sets the address of the target, "" for none, and closes idle connections. The new target
// is assumed to support extensions.
func (e *Extender) SetAddress(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address, e.unsupported = address, false
	e.client.CloseIdleConnections()
}

// Extend tells the target that the lease of the requests with these ids now ends at until, and
// reports whether the target accepted that. It blocks for at most the timeout; ctx is checked only
// before the call. A target that responds with status 404, 405 or 501 does not support extensions
// and is not called again.
func (e *Extender) Extend(ctx context.Context, until clock.Millis, requests []string) bool {
	address, ok := e.supportedAddress()
	if !ok || ctx.Err() != nil {
		return false
	}
	body, err := json.Marshal(struct {
		Until    clock.Millis `json:"until"`
		Requests []string     `json:"requests"`
	}{until, requests})
	if err != nil {
		return false
	}
	status, err := e.put(address, body)
	switch {
	case err != nil:
		return false
	case status == http.StatusNotFound, status == http.StatusMethodNotAllowed, status == http.StatusNotImplemented:
		e.markUnsupported(address)
		return false
	default:
		return status < http.StatusMultipleChoices
	}
}

func (e *Extender) put(address string, body []byte) (int, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + Path)
	request.Header.SetMethod(http.MethodPut)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	err := e.client.DoTimeout(request, response, e.timeout)
	return response.StatusCode(), err
}

// supportedAddress returns the target's address, and whether there is one that may support
// extensions.
func (e *Extender) supportedAddress() (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address, e.address != "" && !e.unsupported
}

// markUnsupported stops extensions to the target at address, unless the target has changed.
func (e *Extender) markUnsupported(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unsupported = e.unsupported || e.address == address
}
