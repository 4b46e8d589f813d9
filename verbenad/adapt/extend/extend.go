// Package extend tells the target beside the daemon that the lease of requests that it runs
// ends later than it was told with them.
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
	// Path is where a target that checks leases takes extensions, with PUT.
	Path = "/verbena/lease"
	// DefaultTimeout bounds one call. It is shorter than the time between two renewals.
	DefaultTimeout = 150 * time.Millisecond
	// answerBytes is the size in bytes of the largest body of an answer.
	answerBytes = 64 << 10
)

// Extender sends extensions to one target at a time. It is safe for concurrent use.
type Extender struct {
	timeout time.Duration
	client  *fasthttp.Client

	mu      sync.Mutex
	address string
	deaf    bool // the target does not take extensions
}

// Option sets one property of an Extender.
type Option func(*Extender)

// WithTimeout bounds one call.
func WithTimeout(span time.Duration) Option { return func(e *Extender) { e.timeout = span } }

// New returns an extender without a target. The clean-up function closes its connection.
func New(opts ...Option) (*Extender, func()) {
	e := &Extender{timeout: DefaultTimeout}
	for _, o := range opts {
		o(e)
	}
	e.client = &fasthttp.Client{
		MaxConnsPerHost:           1,
		MaxConnWaitTimeout:        e.timeout,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       answerBytes,
		NoDefaultUserAgentHeader:  true,
	}
	return e, func() { e.SetAddress("") }
}

// SetAddress sets the address of the target, "" if there is none.
func (e *Extender) SetAddress(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address, e.deaf = address, false
	e.client.CloseIdleConnections()
}

// Extend tells the target that the lease of running requests ends at until, and reports
// whether it took that.
func (e *Extender) Extend(ctx context.Context, until clock.Millis, requests []string) bool {
	address, ok := e.hearing()
	if !ok || ctx.Err() != nil {
		return false
	}
	text, err := json.Marshal(struct {
		Until    clock.Millis `json:"until"`
		Requests []string     `json:"requests"`
	}{until, requests})
	if err != nil {
		return false
	}
	status, err := e.put(address, text)
	switch {
	case err != nil:
		return false
	case status == http.StatusNotFound, status == http.StatusMethodNotAllowed, status == http.StatusNotImplemented:
		e.ignore(address)
		return false
	default:
		return status < http.StatusMultipleChoices
	}
}

func (e *Extender) put(address string, text []byte) (int, error) {
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.SetRequestURI("http://" + address + Path)
	q.Header.SetMethod(http.MethodPut)
	q.Header.SetContentType("application/json")
	q.SetBodyRaw(text)
	err := e.client.DoTimeout(q, a, e.timeout)
	return a.StatusCode(), err
}

// hearing returns the address of the target if it may take extensions.
func (e *Extender) hearing() (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address, e.address != "" && !e.deaf
}

// ignore sends no more extensions to the target at address.
func (e *Extender) ignore(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deaf = e.deaf || e.address == address
}
