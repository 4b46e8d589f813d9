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
	// headerTimeout limits the time to read the header of a request. The time to read the body is
	// limited by the deadline of the request.
	headerTimeout = 10 * time.Second
	// writeTimeout limits the time to write a buffered response.
	writeTimeout = 10 * time.Second
)

// newApp returns the HTTP server. The handler must be registered on a route, not as middleware,
// since fiber runs middleware even for requests that it failed to parse.
func newApp(handle fiber.Handler) *fiber.App {
	app := fiber.New(fiber.Config{
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		DisableDefaultContentType:    true,
		DisableDefaultDate:           true,
		ReadBufferSize:               MaxHeaderBytes,
		Concurrency:                  MaxConnections,
		ReadTimeout:                  headerTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  time.Minute,
		ErrorHandler:                 rejectMalformed,
	})
	app.Server().CloseOnShutdown = true
	app.All("/*", handle)
	return app
}

// rejectMalformed responds to requests that could not be parsed, and closes the connection.
func rejectMalformed(c fiber.Ctx, err error) error {
	r := &c.RequestCtx().Response
	r.Reset()
	writeFailure(r, result.NewRefused(result.BadRequest, 0))
	r.SetBodyString(err.Error() + "\n")
	r.Header.SetConnectionClose()
	return nil
}

// handle serves one request of a caller and records its outcome and duration.
func (e *Server) handle(c fiber.Ctx) error {
	t := e.newTask(c.RequestCtx())
	defer t.close()
	e.meter.Begin()
	start := e.clock.Now()
	var o result.Outcome
	if crash.Catch(nil, "serve a request", func() { o = t.run() }) != nil {
		o = t.failAfterPanic()
	}
	e.meter.End(o, e.clock.Now()-start)
	if e.shuttingDown.Load() {
		t.closeUnread()
	}
	return nil
}

// failAfterPanic responds to a request whose handler panicked, and closes the connection. The
// outcome is unknown, since the target may have run the request.
func (t *task) failAfterPanic() result.Outcome {
	t.http.Response.Reset()
	t.http.SetConnectionClose()
	return t.fail(result.NewUnknown(result.Interrupted))
}

// newTask returns the task of a request with a new request ID and the attributes to route it by.
func (e *Server) newTask(c *fasthttp.RequestCtx) *task {
	t := &task{server: e, http: c, id: rand.Text(), cancel: func() {}}
	t.caller, _ = c.Conn().(*conn)
	t.attributes = route.NewAttributes(string(c.URI().PathOriginal()), func(name string) string {
		return string(c.Request.Header.Peek(name))
	})
	return t
}

// prepare validates the request against the rules of the service and sets its deadline, header
// fields and body. It returns the reason and false if the request must be refused.
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
	t.deadline = t.server.clock.Now().Add(deadline)
	t.ctx, t.cancel = context.WithTimeout(context.Background(), deadline.Duration())
	t.method = string(h.Method())
	t.uri = originForm(t.http.URI())
	t.fields = requestFields(h, t.id)
	t.repeatable = s.Repeatable(t.method) && string(h.Peek(HeaderRepeatable)) != "no"
	return t.openBody(s)
}

// originForm returns the path and the query as they were sent, without the scheme and host of a
// request target in absolute form.
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

// openBody sets the body of the request, which must be read before the deadline. A request without
// a body has been read to its end, so its connection is watched at once.
func (t *task) openBody(s rules.Service) (result.Reason, bool) {
	length := int64(t.http.Request.Header.ContentLength())
	stream := t.http.Request.BodyStream()
	switch {
	case length > s.MaxBodyBytes():
		return result.TooLarge, false
	case length == 0 || stream == nil:
		t.watchCaller()
		return "", true
	}
	if t.caller != nil {
		_ = t.caller.SetReadDeadline(t.connDeadline())
	}
	t.body = relay.NewBody(stream, max(length, -1), s.MaxBodyBytes(), t.watchCaller, t.bodyOptions()...)
	return "", true
}

// bodyOptions returns the options of the body of the request.
func (t *task) bodyOptions() []relay.BodyOption {
	if t.caller == nil {
		return nil
	}
	return []relay.BodyOption{relay.WithMemory(t.caller.request)}
}

// connDeadline returns the deadline of the request as a time for the deadlines of a net.Conn.
func (t *task) connDeadline() time.Time {
	return time.Now().Add((t.deadline - t.server.clock.Now()).Duration())
}

// watchCaller cancels the request if its caller disconnects.
func (t *task) watchCaller() {
	if t.caller != nil {
		t.caller.watchClose(t.cancel)
	}
}
