// Package remote asks a running daemon over HTTP.
package remote

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"net/url"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"
	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/verbena/query/show"
)

const (
	timeout       = 10 * clock.Second
	maxAnswer     = 64 << 20
	maxErrorBytes = 500
)

// Question is what a daemon can be asked: Status, Route, Audit or InForce.
type Question interface{ question() }

// Status asks for the state of the daemon.
type Status struct{}

// Route asks who owns a key of a service.
type Route struct {
	service string
	key     string
}

// NewRoute returns the question who owns key.
func NewRoute(service, key string) Route { return Route{service: service, key: key} }

// Audit asks for the trail of changes.
type Audit struct{}

// InForce asks for the configuration in force.
type InForce struct{}

func (Status) question()  {}
func (Route) question()   {}
func (Audit) question()   {}
func (InForce) question() {}

// path returns the path and query of the URL for q.
func path(q Question) string {
	switch q := q.(type) {
	case Status:
		return "/status"
	case Route:
		return "/route?" + url.Values{"service": {q.service}, "key": {q.key}}.Encode()
	case Audit:
		return "/audit"
	case InForce:
		return "/rules"
	}
	return "/"
}

// Ask returns the daemon's answer to q as JSON. The address is the daemon's
// admin address.
func Ask(daemon netip.AddrPort, q Question) ([]byte, error) {
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI("http://" + daemon.String() + path(q))
	client := fasthttp.Client{MaxResponseBodySize: maxAnswer}
	defer client.CloseIdleConnections()
	if err := client.DoTimeout(request, answer, timeout.Duration()); err != nil {
		return nil, &Error{op: OpAsk, kind: KindUnreachable, cause: merry.Wrap(err)}
	}
	body := bytes.Clone(answer.Body())
	if code := answer.StatusCode(); code != fasthttp.StatusOK {
		text := bytes.TrimSpace(body[:min(len(body), maxErrorBytes)])
		return nil, &Error{op: OpAsk, kind: KindRefused, cause: merry.Errorf("status %d: %s", code, text)}
	}
	if !json.Valid(body) {
		return nil, &Error{op: OpAsk, kind: KindUnreadable, cause: merry.Errorf("%.60q", body)}
	}
	return body, nil
}

// Report returns the answer to q for the operator.
func Report(daemon netip.AddrPort, q Question) (show.Report, error) {
	body, err := Ask(daemon, q)
	if err != nil {
		return show.Report{}, err
	}
	v, err := hujson.Parse(body)
	if err != nil {
		return show.Report{}, &Error{op: OpAsk, kind: KindUnreadable, cause: merry.Wrap(err)}
	}
	return show.NewReport(show.OK, json.RawMessage(body), render(v)), nil
}
