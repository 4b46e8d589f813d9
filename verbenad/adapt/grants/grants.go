// Package grants is the client of the grant API of the target on the same instance: it grants key ranges
// to the target and releases them.
package grants

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/core/command/hold"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/table"
)

const (
	// grantTimeout and releaseTimeout bound one call. A release may take longer, since the target answers
	// it once its requests for the keys have ended.
	grantTimeout    = 700 * time.Millisecond
	releaseTimeout  = 2500 * time.Millisecond
	maxIdleConns    = 16
	idleConnTimeout = 8 * time.Second
	// maxHeaderBytes is the size in bytes of the largest header of a response.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes is the size in bytes of the largest body of a response.
	maxBodyBytes = 64 << 10
)

// Message is an encoded call to the target.
type Message struct {
	path string
	body []byte
}

// NewMessage returns the message for a POST to the path with a JSON body.
func NewMessage(path string, body []byte) Message { return Message{path: path, body: body} }

// Dialect encodes calls to the target and decodes their results. It makes no decisions.
type Dialect interface {
	// Grant returns the message for a grant.
	Grant(g hold.Grant) Message
	// Release returns the message for a release.
	Release(r hold.Release) Message
	// Result returns the result of a call from the status and the header fields of the response.
	Result(status int, field func(name string) string) hold.Result
	// ProcessName returns the name of the process that answered a health request, from the header fields of
	// the response, "" if it does not say it.
	ProcessName(field func(name string) string) string
	// ColdTime returns for how long the process that answered a health request stays cold, 0 if it is warm, and
	// whether the response says it.
	ColdTime(field func(name string) string) (clock.Millis, bool)
}

// Client is a client of one process of the target at a time. It is safe for concurrent use.
type Client struct {
	dialect       Dialect
	log           *logrus.Entry
	onConnRefused func()
	healthPath    func(service string) string

	mu      sync.Mutex
	session *session // nil without a process or a dialect
}

// Option sets one property of a Client.
type Option func(*Client)

// WithDialect sets the dialect of the target. Without one, no call reaches the target.
func WithDialect(d Dialect) Option { return func(c *Client) { c.dialect = d } }

// WithOnConnRefused sets a callback for connections that the target's address refuses. It may be called from
// several goroutines.
func WithOnConnRefused(f func()) Option { return func(c *Client) { c.onConnRefused = f } }

// WithHealthPath sets the function that returns the path of health requests to targets of a service, by default
// rules.DefaultHealthPath.
func WithHealthPath(f func(service string) string) Option {
	return func(c *Client) { c.healthPath = f }
}

// WithLog sets the log, by default the standard logger.
func WithLog(e *logrus.Entry) Option { return func(c *Client) { c.log = e } }

// New returns a client without a process, and a function that closes its idle connections.
func New(opts ...Option) (*Client, func()) {
	c := &Client{
		log: logrus.NewEntry(logrus.StandardLogger()), onConnRefused: func() {},
		healthPath: func(string) string { return rules.DefaultHealthPath },
	}
	for _, o := range opts {
		o(c)
	}
	return c, func() { c.SetProcess(Process{}) }
}

// SetProcess sets the process that gets calls from now on. Calls in flight continue.
func (c *Client) SetProcess(p Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil {
		c.session.close()
	}
	c.session = nil
	if c.dialect != nil && p.address != "" {
		c.session = newSession(p, c.dialect, c.healthPath, c.onConnRefused)
	}
}

// SendCall sends a call and calls done once with its result, from another goroutine.
func (c *Client) SendCall(call hold.Call, done func(hold.Result)) {
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	go func() { done(c.send(s, call)) }()
}

// Identify asks the process that listens at the address of the current process for its name, from another
// goroutine. done gets hold.Done if it is that process, hold.Ended if it has ended, and hold.Unreached otherwise.
func (c *Client) Identify(done func(hold.Result)) {
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	go func() { done(c.identify(s)) }()
}

func (c *Client) identify(s *session) hold.Result {
	if s == nil {
		return hold.Unreached{}
	}
	n, err := s.dial(context.Background(), "", "")
	if err == nil {
		_ = n.Close()
		return hold.NewDone("")
	}
	c.log.WithError(err).Warn("keeper: the target at its address is not known to be the one that sends heartbeats")
	return s.failure(err)
}

func (c *Client) send(s *session, call hold.Call) hold.Result {
	first, last := call.Keys()
	log := c.log.WithField("first", uint32(first)).WithField("last", uint32(last))
	if s == nil {
		log.Warn("keeper: call not sent: no target or no grant dialect")
		return hold.Unreached{}
	}
	var m Message
	timeout := grantTimeout
	var e table.Epoch
	switch call := call.(type) {
	case hold.Grant:
		m, e = c.dialect.Grant(call), call.Epoch()
	case hold.Release:
		m, e, timeout = c.dialect.Release(call), call.Epoch(), releaseTimeout
	}
	r, err := s.post(m, timeout)
	log = log.WithField("epoch", uint64(e)).WithField("order", m.path)
	switch r.(type) {
	case hold.Done:
		log.Debug("keeper: target accepted the call")
	case hold.Stale:
		log.Warn("keeper: target has seen a later epoch")
	case hold.Unanswered:
		log.WithError(err).Warn("keeper: no answer, the order may take effect late")
	case hold.Unreached:
		log.WithError(err).Warn("keeper: cannot connect to the target; the call was not sent")
	case hold.Ended:
		log.WithError(err).Warn("keeper: the target that was granted keys has ended; the call was not sent")
	}
	return r
}

// post sends a message and returns the result of the call, with the error if there is no valid response.
func (s *session) post(m Message, timeout time.Duration) (hold.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.process.address+m.path, bytes.NewReader(m.body))
	if err != nil {
		return hold.Unreached{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return s.failure(err), err
	}
	defer func() { _ = resp.Body.Close() }()
	switch _, err := io.CopyN(io.Discard, resp.Body, maxBodyBytes+1); err {
	case io.EOF:
		return s.dialect.Result(resp.StatusCode, resp.Header.Get), nil
	case nil:
		return hold.Unanswered{}, &Error{op: "read response of " + m.path, kind: BodyTooLarge}
	default:
		return hold.Unanswered{}, err
	}
}

// failure returns the result of a call that failed with err.
func (s *session) failure(err error) hold.Result {
	if s.ended(err) {
		return hold.Ended{}
	}
	var opErr *net.OpError
	var unidentified *Error
	if errors.As(err, &unidentified) || (errors.As(err, &opErr) && opErr.Op == "dial") {
		return hold.Unreached{}
	}
	return hold.Unanswered{}
}
