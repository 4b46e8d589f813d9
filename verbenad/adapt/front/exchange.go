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
	"verbenabank/verbenad/command/memory"
	"verbenabank/verbenad/command/relay"
)

// exchange is one request of a caller and the response to it.
type exchange struct {
	conn            *conn
	head            fasthttp.RequestHeader
	prevDone        chan struct{} // closed when the response to the previous request is written
	done            chan struct{} // closed when the response to this request is written
	startTime       clock.Millis
	memory          *memory.Tally // that the request holds
	expectsContinue bool
	started         bool // a goroutine serves the request, and releases its memory
	info            RequestInfo
	body            *relay.Body
	responseStarted bool        // part of the response may have been written
	bodyAbandoned   bool        // the rest of the request body will not be read
	sent            atomic.Bool // the caller may have received the complete response

	// Fields of the request log.
	route        string
	service      string
	routingKey   string // "" if the service has no keys or takes them from the path
	attempts     int    // including the first one
	lastInstance string // the instance of the last attempt
	tableVersion uint64 // version of the routing table
}

// start starts serving the request. It returns when the body has been read, or when the request is
// finished without it, and reports whether another request may be read from the connection.
func (x *exchange) start(limits rules.Limits) bool {
	c, s := x.conn, x.conn.server
	x.info = s.dialect.RequestInfo(&x.head)
	x.expectsContinue = x.head.PeekBytes([]byte("Expect")) != nil
	source, length := c.bodyReader(&x.head)
	switch {
	case !head.WellFormed(&x.head) || len(x.head.Host()) == 0:
		return c.reject(x, result.BadRequest)
	case length > limits.MaxBodyBytes():
		return c.reject(x, result.TooLarge)
	case source == nil:
		c.startRequest(x, x.serve)
		return true
	}
	read := make(chan struct{})
	x.body = relay.NewBody(&continueReader{exchange: x, source: source}, length, limits.MaxBodyBytes(), func() { close(read) }, relay.WithMemory(x.memory))
	_ = c.net.SetReadDeadline(time.Now().Add(bodyTimeout))
	c.startRequest(x, x.serve)
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

// releaseUnlessStarted gives back the memory of a request that nothing serves. The reader calls it.
func (x *exchange) releaseUnlessStarted() {
	if !x.started {
		x.memory.Close()
	}
}

// bodyTimeout bounds the time to receive a request body.
const bodyTimeout = 10 * time.Minute

// continueReader reads a request body. If the request has an Expect field, it sends the interim
// response 100 (Continue) before the first read. If the caller disconnects, it cancels the
// connection's requests.
type continueReader struct {
	exchange *exchange
	source   io.Reader
	started  bool // the first read has begun
}

func (b *continueReader) Read(p []byte) (int, error) {
	if x := b.exchange; !b.started && x.expectsContinue {
		<-x.prevDone
		x.conn.extendWriteDeadline()
		if _, err := x.conn.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	b.started = true
	n, err := b.source.Read(p)
	if err != nil && err != io.EOF && !errors.Is(err, os.ErrDeadlineExceeded) {
		b.exchange.conn.cancel()
	}
	return n, err
}

// serve forwards the request, writes the response, and records metrics and the request log.
func (x *exchange) serve() {
	server := x.conn.server
	server.meter.Begin()
	var o result.Outcome
	if server.catchPanic("serve a request", func() { o = x.forward() }) {
		o = x.failAfterPanic()
	}
	server.meter.End(o, server.clock.Now()-x.startTime)
	server.requestLog.LogOutcome(o, func() logrus.Fields { return x.logFields(o) })
	if x.body != nil && !x.body.Finish(x.interruptRead) && !x.bodyAbandoned {
		x.conn.stopReading(true)
	}
}

// failAfterPanic ends a request whose goroutine panicked. The outcome is unknown, since the target may
// have run the request.
func (x *exchange) failAfterPanic() result.Outcome {
	if x.responseStarted {
		return x.abort(result.Interrupted)
	}
	x.conn.stopReading(true)
	return x.fail(result.NewUnknown(result.Interrupted))
}

// logFields returns the fields of the request log. The version of the routing table tells which routes
// and owners applied; the target's load explains why a request was refused.
func (x *exchange) logFields(o result.Outcome) logrus.Fields {
	f := logrus.Fields{
		"request": x.info.id, "route": x.route, "service": x.service, "key": x.routingKey, "asked": x.attempts, "by": x.lastInstance,
		"table": x.tableVersion, "took_ms": int64(x.conn.server.clock.Now() - x.startTime),
	}
	r, refused := o.(result.Refused)
	switch {
	case refused && r.Reason() == result.UnknownRoute:
		path, _, _ := strings.Cut(originForm(&x.head), "?")
		f["host"], f["path"] = hostname(&x.head), path[:min(len(path), maxLoggedPath)]
	case refused && r.TargetLoad() != (result.TargetLoad{}):
		f["busy"], f["waiting"], f["mean_ms"] = r.TargetLoad().Running(), r.TargetLoad().Waiting(), int64(r.TargetLoad().MeanTime())
	}
	return f
}

// maxLoggedPath is the length in bytes up to which the path of a request without a route is logged.
const maxLoggedPath = 64

// interruptRead unblocks a read of the request body.
func (x *exchange) interruptRead() { _ = x.conn.net.SetReadDeadline(time.Unix(1, 0)) }

// forward routes the request, sends it to the target within its deadline, and writes the response.
func (x *exchange) forward() result.Outcome {
	server := x.conn.server
	s, ok := server.relay.AwaitSnapshot()
	if !ok {
		return x.refuse(result.NotReady)
	}
	i := server.relay.Index(s)
	x.tableVersion = s.Table().Version()
	uri := originForm(&x.head)
	path, _, _ := strings.Cut(uri, "?")
	r, ok := i.MatchRoute(hostname(&x.head), path)
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
	if x.info.timeout > 0 {
		wait = min(wait, x.info.timeout)
	}
	deadline := x.startTime + wait
	ctx, cancel := context.WithTimeout(x.conn.ctx, (deadline - server.clock.Now()).Duration())
	defer cancel()
	defer context.AfterFunc(server.graceCtx, cancel)()
	x.service, x.routingKey = v.Name(), x.keyOf(v)
	d := relay.NewRequest(v, route.ResolvedAttributes(x.service, x.routingKey), deadline,
		relay.WithMessage(x.info.id, string(x.head.Method()), uri),
		relay.WithFields(server.dialect.ForwardedFields(endToEndFields(&x.head), server.localService())), relay.WithBody(x.body),
		relay.WithRoute(r, x.startTime+r.LatencyGoal()))
	x.dropFields()
	res := server.relay.Run(ctx, d)
	x.attempts, x.lastInstance = res.Attempts(), res.Instance()
	switch reply := res.Reply().(type) {
	case call.Response:
		return x.respond(ctx, reply)
	case call.Failure:
		return x.fail(reply.Outcome())
	}
	return x.fail(result.NewUnknown(result.Interrupted))
}

// keyOf returns the key that is in a header field, as the service's rules say. It returns "" if the
// service has no keys or takes them from the path.
func (x *exchange) keyOf(s rules.Service) string {
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

// originForm returns the request target in origin form (path and query), unchanged from what the
// caller sent. It is "/" if the target has no path.
func originForm(h *fasthttp.RequestHeader) string {
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

// hostname returns the Host field without the port.
func hostname(h *fasthttp.RequestHeader) string {
	name, _, _ := strings.Cut(string(h.Host()), ":")
	return name
}

// endToEndFields returns the end-to-end header fields, which a proxy forwards.
func endToEndFields(h *fasthttp.RequestHeader) []call.Field {
	options := head.ConnectionOptions(string(h.Peek(fasthttp.HeaderConnection)))
	list := make([]call.Field, 0, h.Len()+2)
	for k, v := range h.All() {
		if name := string(k); head.IsForwarded(name, options) {
			list = append(list, call.NewField(name, string(v)))
		}
	}
	return list
}
