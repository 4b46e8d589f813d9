package entry

import (
	"context"
	"crypto/rand"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/core/query/route"
	"verbenabank/core/state/result"
	"verbenabank/core/state/rules"
	"verbenabank/verbenad/adapt/head"
	"verbenabank/verbenad/command/crash"
	"verbenabank/verbenad/command/relay"
)

const (
	// headTimeout bounds the reading of a request's head; its body is bounded by the
	// deadline of the request.
	headTimeout = 10 * time.Second
	// writeTimeout bounds the writing of a response that is in memory.
	writeTimeout = 10 * time.Second
)

// newApp returns the HTTP server. The handler must stand on routes, not be used as
// middleware: fiber runs middleware also for requests that it could not parse.
func newApp(handle fiber.Handler) *fiber.App {
	app := fiber.New(fiber.Config{
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		DisableDefaultContentType:    true,
		DisableDefaultDate:           true,
		ReadBufferSize:               MaxHeadBytes,
		Concurrency:                  MaxConnections,
		ReadTimeout:                  headTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  time.Minute,
		ErrorHandler:                 refuseMalformed,
	})
	app.Server().CloseOnShutdown = true
	app.All("/*", handle)
	return app
}

// refuseMalformed answers requests that could not be parsed.
func refuseMalformed(c fiber.Ctx, err error) error {
	r := &c.RequestCtx().Response
	r.Reset()
	writeFailure(r, result.NewRefused(result.BadRequest, 0))
	r.SetBodyString(err.Error() + "\n")
	r.Header.SetConnectionClose()
	return nil
}

// handle serves one request of a caller.
func (e *Server) handle(c fiber.Ctx) error {
	t := e.newTask(c.RequestCtx())
	defer t.close()
	e.meter.Begin()
	began := e.clock.Now()
	var o result.Outcome
	if crash.Catch(nil, "serve a request", func() { o = t.run() }) != nil {
		o = t.spoilt()
	}
	e.meter.End(o, e.clock.Now()-began)
	if e.leaving.Load() {
		t.leaveUnread()
	}
	return nil
}

// spoilt answers a request whose serving panicked, and ends its connection: the target may have run it.
func (t *task) spoilt() result.Outcome {
	t.http.Response.Reset()
	t.http.SetConnectionClose()
	return t.fail(result.NewUnknown(result.Interrupted))
}

// newTask reads the head of a request.
func (e *Server) newTask(c *fasthttp.RequestCtx) *task {
	t := &task{entry: e, http: c, id: rand.Text(), cancel: func() {}}
	t.caller, _ = c.Conn().(*conn)
	t.facts = route.NewAttributes(string(c.URI().PathOriginal()), func(name string) string {
		return string(c.Request.Header.Peek(name))
	})
	return t
}

// prepare reads what depends on the rules of the service. It returns a refusal if the
// request cannot be taken.
func (t *task) prepare(s rules.Service) (result.Reason, bool) {
	h := &t.http.Request.Header
	if !head.WellFormed(h) {
		return result.BadRequest, false
	}
	deadline := s.Deadline()
	if v := h.Peek(HeaderDeadlineMs); len(v) > 0 {
		ms, err := strconv.ParseInt(string(v), 10, 64)
		if err != nil || ms <= 0 {
			return result.BadRequest, false
		}
		deadline = min(deadline, clock.Millis(ms))
	}
	t.deadline = t.entry.clock.Now().Add(deadline)
	t.ctx, t.cancel = context.WithTimeout(context.Background(), deadline.Duration())
	t.method = string(h.Method())
	t.uri = originForm(t.http.URI())
	t.fields = requestFields(h, t.id)
	t.repeatable = s.Repeatable(t.method) && string(h.Peek(HeaderRepeatable)) != "no"
	return t.takeBody(s)
}

// originForm returns path and query as they were sent, also if the caller named the
// host before them.
func originForm(u *fasthttp.URI) string {
	path := string(u.PathOriginal())
	if path == "" {
		path = "/"
	}
	if q := u.QueryString(); len(q) > 0 {
		path += "?" + string(q)
	}
	return path
}

func (t *task) takeBody(s rules.Service) (result.Reason, bool) {
	length := int64(t.http.Request.Header.ContentLength())
	stream := t.http.Request.BodyStream()
	switch {
	case length > s.MaxBodyBytes():
		return result.TooLarge, false
	case length == 0 || stream == nil:
		t.watch()
		return "", true
	}
	if t.caller != nil {
		_ = t.caller.SetReadDeadline(t.end())
	}
	t.body = relay.NewBody(stream, max(length, -1), s.MaxBodyBytes(), t.watch)
	return "", true
}

// end returns the deadline on the clock of connections.
func (t *task) end() time.Time {
	return time.Now().Add((t.deadline - t.entry.clock.Now()).Duration())
}

// watch ends the request if its caller goes away.
func (t *task) watch() {
	if t.caller != nil {
		t.caller.watch(t.cancel)
	}
}
