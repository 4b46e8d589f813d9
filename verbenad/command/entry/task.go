package entry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/command/relay"
)

// task is one request of a caller.
type task struct {
	entry  *Server
	http   *fasthttp.RequestCtx
	caller *conn
	id     string
	facts  route.Attributes

	ctx        context.Context
	cancel     context.CancelFunc
	deadline   clock.Millis
	method     string
	uri        string
	fields     []call.Field
	body       *relay.Body
	repeatable bool

	streamed bool
	served   string
}

// run serves the request and writes the response.
func (t *task) run() result.Outcome {
	s, ok := t.entry.relay.AwaitSnapshot()
	if !ok {
		return t.refuse(result.NotReady)
	}
	service, ok := t.entry.relay.Index(s).Service(t.facts)
	if !ok {
		return t.refuse(result.UnknownService)
	}
	if reason, ok := t.prepare(service); !ok {
		return t.refuse(reason)
	}
	v := t.entry.relay.Run(t.ctx, relay.NewRequest(service, t.facts, t.deadline,
		relay.WithMessage(t.id, t.method, t.uri), relay.WithFields(t.fields), relay.WithBody(t.body),
		relay.WithRepeatable(t.repeatable)))
	t.served = v.Instance()
	switch reply := v.Reply().(type) {
	case call.Response:
		return t.respond(reply)
	case call.Failure:
		return t.fail(reply.Outcome())
	}
	return t.fail(result.NewUnknown(result.Interrupted))
}

// close ends what the request still holds, unless its answer is being streamed.
func (t *task) close() {
	if t.body != nil && !t.body.Finish(t.interrupt) {
		t.leaveUnread()
	}
	if !t.streamed {
		t.cancel()
	}
}

// leaveUnread closes the connection after the response, since a part of the request's
// body was not read.
func (t *task) leaveUnread() {
	t.http.Response.Header.SetConnectionClose()
	if t.caller != nil {
		t.caller.leave()
	}
}

// interrupt ends a read of the caller's body; the connection is closed after the response.
func (t *task) interrupt() {
	if t.caller != nil {
		_ = t.caller.SetReadDeadline(time.Unix(1, 0))
	}
}
