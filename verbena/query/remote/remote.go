// Package remote queries the admin API of a running daemon over HTTP.
package remote

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"

	"verbenabank/core/clock"
	"verbenabank/core/wire/heads"
	"verbenabank/verbena/query/show"
)

const (
	timeout          = 10 * clock.Second
	maxResponseBytes = 64 << 20
	maxErrorBytes    = 500
)

// Query is a read-only request to a daemon: Status, Route, Audit or InForce.
type Query interface{ query() }

// Status requests the state of the daemon and its view of the members.
type Status struct{}

// Route requests the owner of a key.
type Route struct {
	service string
	key     string
}

// NewRoute returns the query for the owner of key in service.
func NewRoute(service, key string) Route { return Route{service: service, key: key} }

// Audit requests the audit records.
type Audit struct{}

// InForce requests the configuration in force.
type InForce struct{}

func (Status) query()  {}
func (Route) query()   {}
func (Audit) query()   {}
func (InForce) query() {}

// path returns the request target of q: URL path and query string.
func path(q Query) string {
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

// Get sends q to the admin address of a daemon and returns the JSON body of the
// response. It fails after 10 s, for a response that is broken or incomplete, for a
// body above 64 MiB, and for any status but 200; the error then has the first 500
// bytes of the body.
func Get(daemon netip.AddrPort, q Query) ([]byte, error) {
	code, body, err := get("http://" + daemon.String() + path(q))
	if err != nil {
		return nil, &Error{op: OpGet, kind: KindUnreachable, cause: merry.Wrap(err)}
	}
	if code != http.StatusOK {
		text := bytes.TrimSpace(body[:min(len(body), maxErrorBytes)])
		return nil, &Error{op: OpGet, kind: KindRefused, cause: merry.Errorf("status %d: %s", code, text)}
	}
	if !json.Valid(body) {
		return nil, &Error{op: OpGet, kind: KindUnreadable, cause: merry.Errorf("%.60q", body)}
	}
	return body, nil
}

// get returns the status and the body of a complete response.
func get(address string) (int, []byte, error) {
	client := http.Client{
		Timeout:       timeout.Duration(),
		Transport:     &http.Transport{DialContext: heads.DialContext, DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	r, err := client.Get(address)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxResponseBytes))
	return r.StatusCode, body, err
}

// GetReport sends q to a daemon and renders the response as a report.
func GetReport(daemon netip.AddrPort, q Query) (show.Report, error) {
	body, err := Get(daemon, q)
	if err != nil {
		return show.Report{}, err
	}
	v, err := hujson.Parse(body)
	if err != nil {
		return show.Report{}, &Error{op: OpGet, kind: KindUnreadable, cause: merry.Wrap(err)}
	}
	return show.NewReport(show.OK, json.RawMessage(body), render(v)), nil
}
