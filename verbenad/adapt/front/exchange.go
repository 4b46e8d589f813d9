package front

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/verbenad/adapt/head"
	"verbenabank/verbenad/command/relay"
)

// exchange is one request and its response.
type exchange struct {
	conn   *conn
	head   fasthttp.RequestHeader
	before chan struct{} // closed when the response before is written
	done   chan struct{} // closed when this one is
	began  clock.Millis
	ask    RequestInfo
	body   *relay.Body
	begun  bool        // some of the response may be written
	cut    bool        // the body was not read whole
	sent   atomic.Bool // the caller may have the whole response

	// What the log tells of the request.
	route   string
	service string
	number  string // of the key
	asked   int    // daemons
	by      string // the last instance that was asked
	version uint64 // of the table
}

// open starts the request. It returns once its body is read, or is not to be read, and
// reports whether another request may be read from the connection.
func (x *exchange) open(limits rules.Limits) bool {
	c, f := x.conn, x.conn.front
	x.ask = f.dialect.RequestInfo(&x.head)
	source, length := c.bodyReader(&x.head)
	switch {
	case !head.WellFormed(&x.head) || len(x.head.Host()) == 0:
		return c.reject(x, result.BadRequest)
	case length > limits.MaxBodyBytes():
		return c.reject(x, result.TooLarge)
	case source == nil:
		c.run(x, x.serve)
		return true
	}
	read := make(chan struct{})
	x.body = relay.NewBody(&continuing{exchange: x, source: source}, length, limits.MaxBodyBytes(), func() { close(read) })
	_ = c.net.SetReadDeadline(time.Now().Add(bodyWait))
	c.run(x, x.serve)
	select {
	case <-read:
		return true
	case <-x.done:
	}
	select {
	case <-read:
		return true
	default:
		return false
	}
}

// bodyWait bounds how long a body may take.
const bodyWait = 10 * time.Minute

// continuing reads a body, and asks the caller for it first if the caller waits for that.
type continuing struct {
	exchange *exchange
	source   io.Reader
	asked    bool
}

func (b *continuing) Read(p []byte) (int, error) {
	if x := b.exchange; !b.asked && x.head.PeekBytes([]byte("Expect")) != nil {
		<-x.before
		if _, err := x.conn.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	b.asked = true
	n, err := b.source.Read(p)
	if err != nil && err != io.EOF && !errors.Is(err, os.ErrDeadlineExceeded) {
		b.exchange.conn.cancel()
	}
	return n, err
}

// serve runs the request and writes its response.
func (x *exchange) serve() {
	f := x.conn.front
	f.meter.Begin()
	var o result.Outcome
	if f.catch("serve a request", func() { o = x.run() }) {
		o = x.spoilt()
	}
	f.meter.End(o, f.clock.Now()-x.began)
	f.story.LogOutcome(o, func() logrus.Fields { return x.facts(o) })
	if x.body != nil && !x.body.Finish(x.interrupt) && !x.cut {
		x.conn.end(true)
	}
}

// spoilt ends a request whose serving panicked: the target may have run it.
func (x *exchange) spoilt() result.Outcome {
	if x.begun {
		return x.broken(result.Interrupted)
	}
	x.conn.end(true)
	return x.fail(result.NewUnknown(result.Interrupted))
}

// facts are what the log tells of the request: what decided its end, and the version of the
// table that it was routed by.
func (x *exchange) facts(o result.Outcome) logrus.Fields {
	f := logrus.Fields{
		"request": x.ask.id, "route": x.route, "service": x.service, "key": x.number, "asked": x.asked, "by": x.by,
		"table": x.version, "took_ms": int64(x.conn.front.clock.Now() - x.began),
	}
	if r, ok := o.(result.Refused); ok && r.TargetLoad() != (result.TargetLoad{}) {
		f["busy"], f["waiting"], f["mean_ms"] = r.TargetLoad().Running(), r.TargetLoad().Waiting(), int64(r.TargetLoad().MeanTime())
	}
	return f
}

func (x *exchange) interrupt() { _ = x.conn.net.SetReadDeadline(time.Unix(1, 0)) }

func (x *exchange) run() result.Outcome {
	f := x.conn.front
	s, ok := f.relay.AwaitSnapshot()
	if !ok {
		return x.refuse(result.NotReady)
	}
	i := f.relay.Index(s)
	x.version = s.Table().Version()
	uri := target(&x.head)
	path, _, _ := strings.Cut(uri, "?")
	r, ok := i.MatchRoute(host(&x.head), path)
	if !ok {
		return x.refuse(result.UnknownRoute)
	}
	x.route = r.Name()
	p, ok := route.PickPart(r, rand.IntN)
	if !ok {
		return x.refuse(result.NoTarget)
	}
	v, ok := s.Table().Rules().Service(p.Service())
	if !ok {
		return x.refuse(result.UnknownService)
	}
	wait := r.Timeout()
	if x.ask.wait > 0 {
		wait = min(wait, x.ask.wait)
	}
	deadline := x.began + wait
	ctx, cancel := context.WithTimeout(x.conn.ctx, (deadline - f.clock.Now()).Duration())
	defer cancel()
	defer context.AfterFunc(f.ending, cancel)()
	x.service, x.number = v.Name(), x.key(v)
	d := relay.NewRequest(v, route.ResolvedAttributes(x.service, x.number), deadline,
		relay.WithMessage(x.ask.id, string(x.head.Method()), uri),
		relay.WithFields(f.dialect.ForwardedFields(fields(&x.head), f.origin())), relay.WithBody(x.body),
		relay.WithRoute(r, x.began+r.LatencyGoal()))
	done := f.relay.Run(ctx, d)
	x.asked, x.by = done.Attempts(), done.Instance()
	switch reply := done.Reply().(type) {
	case call.Response:
		return x.answer(ctx, reply)
	case call.Failure:
		return x.fail(reply.Outcome())
	}
	return x.fail(result.NewUnknown(result.Interrupted))
}

// key returns the key of the request, "" if the service has none.
func (x *exchange) key(s rules.Service) string {
	o, ok := s.Kind().(rules.Ordered)
	if !ok {
		return ""
	}
	switch k := o.Source().(type) {
	case rules.Header:
		return string(x.head.Peek(k.Name()))
	case rules.PathSegment:
		return ""
	}
	return ""
}

// target returns path and query as the caller sent them.
func target(h *fasthttp.RequestHeader) string {
	uri := string(h.RequestURI())
	if strings.HasPrefix(uri, "/") {
		return uri
	}
	if _, rest, ok := strings.Cut(uri, "://"); ok {
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			return rest[i:]
		}
	}
	return "/"
}

// host returns the host name without a port.
func host(h *fasthttp.RequestHeader) string {
	name, _, _ := strings.Cut(string(h.Host()), ":")
	return name
}

// fields returns the header fields that are not about the connection.
func fields(h *fasthttp.RequestHeader) []call.Field {
	named := head.ConnectionOptions(string(h.Peek(fasthttp.HeaderConnection)))
	list := make([]call.Field, 0, h.Len()+2)
	for k, v := range h.All() {
		if name := string(k); head.IsForwarded(name, named) {
			list = append(list, call.NewField(name, string(v)))
		}
	}
	return list
}
