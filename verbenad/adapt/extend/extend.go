// Package extend sends lease extensions to the local target: the lease of requests in flight
// there ends later than was stated when they were sent.
package extend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/adapt/target"
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
	target  *target.Target

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
	t, stop := target.New(target.WithLinger(0))
	e.target = t
	return e, func() {
		e.SetAddress("")
		stop()
	}
}

// SetAddress sets the address of the target, "" for none, and closes idle connections. The new target
// is assumed to support extensions.
func (e *Extender) SetAddress(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address, e.unsupported = address, false
	e.target.SetAddress(address)
}

// Extend tells the target that the lease of the requests with these ids now ends at until, and
// reports whether the target accepted that: by a complete response with a status from 200 to 299. It blocks
// for at most the timeout. A target that responds with status 404, 405 or 501 does not support extensions
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
	status, ok := e.put(ctx, body)
	switch {
	case !ok:
		return false
	case status == http.StatusNotFound, status == http.StatusMethodNotAllowed, status == http.StatusNotImplemented:
		e.markUnsupported(address)
		return false
	default:
		return status >= http.StatusOK && status < http.StatusMultipleChoices
	}
}

// put sends the body and returns the status of the response, and whether there is a complete one.
func (e *Extender) put(ctx context.Context, body []byte) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	r := call.NewRequest("", http.MethodPut, Path,
		call.WithFields([]call.Field{call.NewField("Content-Type", "application/json")}),
		call.WithBody(bytes.NewReader(body), int64(len(body))))
	a := call.NewAttempt(func() (call.Request, result.Reason) { return r, "" }, func() {})
	response, ok := e.target.Send(ctx, a).(call.Response)
	if !ok {
		return 0, false
	}
	defer func() { _ = response.Body().Close() }()
	_, err := io.CopyN(io.Discard, response.Body(), maxResponseBytes+1)
	return response.Status(), err == io.EOF
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
