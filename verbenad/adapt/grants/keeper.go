// Package keeper tells the target beside the daemon what keys it holds.
package grants

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"verbenabank/core/command/hold"
	"verbenabank/core/state/table"
)

const (
	// grantWithin bounds the call of a grant, releaseWithin that of a release, which is
	// answered once the work for the keys has ended.
	grantWithin   = 700 * time.Millisecond
	releaseWithin = 2500 * time.Millisecond
	idleConns     = 4
	idleTime      = 8 * time.Second
	// headBytes is the size in bytes of the largest head of an answer.
	headBytes = 16 << 10
	// answerBytes is the size in bytes up to which the body of an answer counts as whole.
	answerBytes = 64 << 10
)

// Message is an order as the target is sent it.
type Message struct {
	path string
	body []byte
}

// NewMessage returns the message for a POST to the path with a JSON body.
func NewMessage(path string, body []byte) Message { return Message{path: path, body: body} }

// Dialect is how the target is told orders. It only maps names.
type Dialect interface {
	// Grant returns the message for a grant.
	Grant(g hold.Grant) Message
	// Release returns the message for a release.
	Release(r hold.Release) Message
	// Result returns what an answer with a status and header fields means.
	Result(status int, field func(name string) string) hold.Result
}

// Client tells one target at a time. It is safe for concurrent use.
type Client struct {
	dialect Dialect
	client  *http.Client
	log     *logrus.Entry
	refused func()

	mu      sync.Mutex
	address string
}

// Option sets one property of a Keeper.
type Option func(*Client)

// WithDialect sets how the target is told.
func WithDialect(d Dialect) Option { return func(k *Client) { k.dialect = d } }

// WithOnConnRefused sets what is called when nobody listens at the target's address.
func WithOnConnRefused(f func()) Option { return func(k *Client) { k.refused = f } }

// WithLog sets the log.
func WithLog(e *logrus.Entry) Option { return func(k *Client) { k.log = e } }

// New returns a keeper without a target, and its clean-up function.
func New(opts ...Option) (*Client, func()) {
	t := &http.Transport{
		MaxIdleConnsPerHost: idleConns, IdleConnTimeout: idleTime, DisableCompression: true, MaxResponseHeaderBytes: headBytes,
	}
	k := &Client{
		client: &http.Client{Transport: t}, log: logrus.NewEntry(logrus.StandardLogger()), refused: func() {},
	}
	for _, o := range opts {
		o(k)
	}
	return k, t.CloseIdleConnections
}

// SetAddress sets the address of the target, "" if there is none.
func (k *Client) SetAddress(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.address != address {
		k.address = address
		k.client.CloseIdleConnections()
	}
}

// SendCall sends an order and calls done once with its result, from another goroutine.
func (k *Client) SendCall(o hold.Call, done func(hold.Result)) {
	k.mu.Lock()
	address := k.address
	k.mu.Unlock()
	go func() { done(k.send(address, o)) }()
}

func (k *Client) send(address string, o hold.Call) hold.Result {
	first, last := o.Keys()
	log := k.log.WithField("first", uint32(first)).WithField("last", uint32(last))
	if k.dialect == nil || address == "" {
		log.Warn("keeper: there is no target that can be told what keys it holds")
		return hold.Unreached{}
	}
	var m Message
	within := grantWithin
	var e table.Epoch
	switch o := o.(type) {
	case hold.Grant:
		m, e = k.dialect.Grant(o), o.Epoch()
	case hold.Release:
		m, e, within = k.dialect.Release(o), o.Epoch(), releaseWithin
	}
	r, err := k.post(address, m, within)
	log = log.WithField("epoch", uint64(e)).WithField("order", m.path)
	switch r.(type) {
	case hold.Done:
		log.Debug("keeper: target took the order")
	case hold.Stale:
		log.Warn("keeper: target has seen a later epoch")
	case hold.Unanswered:
		log.WithError(err).Warn("keeper: no answer, the order may take effect late")
	case hold.Unreached:
		log.WithError(err).Warn("keeper: target was not reached")
	}
	return r
}

func (k *Client) post(address string, m Message, within time.Duration) (hold.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+m.path, bytes.NewReader(m.body))
	if err != nil {
		return hold.Unreached{}, err
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := k.client.Do(q)
	if err != nil {
		var op *net.OpError
		if errors.Is(err, syscall.ECONNREFUSED) {
			k.refused()
		}
		if errors.As(err, &op) && op.Op == "dial" {
			return hold.Unreached{}, err
		}
		return hold.Unanswered{}, err
	}
	defer func() { _ = a.Body.Close() }()
	switch _, err := io.CopyN(io.Discard, a.Body, answerBytes+1); err {
	case io.EOF:
		return k.dialect.Result(a.StatusCode, a.Header.Get), nil
	case nil:
		return hold.Unanswered{}, &Error{op: "read answer to " + m.path, kind: Endless}
	default:
		return hold.Unanswered{}, err
	}
}
