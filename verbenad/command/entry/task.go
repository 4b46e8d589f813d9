package entry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/core/query/route"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/command/memory"
	"verbenabank/verbenad/command/relay"
)

// task is one request of a caller with its HTTP exchange.
type task struct {
	server     *Server
	http       *fasthttp.RequestCtx
	caller     *conn
	id         string
	attributes route.Attributes

	ctx        context.Context
	cancel     context.CancelFunc
	deadline   clock.Millis
	method     string
	uri        string
	fields     []call.Field
	body       *relay.Body
	repeatable bool

	streaming bool   // the response is sent after handle returns
	instance  string // instance of the last attempt
}

// run routes the request and writes the response. The outcome of a streamed response is that of
// its header.
func (t *task) run() result.Outcome {
	if t.caller != nil && !t.caller.beginRequest(&t.http.Request.Header) {
		t.dropHead()
		return t.refuse(result.Overloaded)
	}
	s, ok := t.server.relay.AwaitSnapshot()
	if !ok {
		return t.refuse(result.NotReady)
	}
	service, ok := t.server.relay.Index(s).Service(t.attributes)
	if !ok {
		return t.refuse(result.UnknownService)
	}
	if reason, ok := t.prepare(service); !ok {
		return t.refuse(reason)
	}
	t.dropHead()
	v := t.server.relay.Run(t.ctx, relay.NewRequest(service, t.attributes, t.deadline,
		relay.WithMessage(t.id, t.method, t.uri), relay.WithFields(t.fields), relay.WithBody(t.body),
		relay.WithRepeatable(t.repeatable)))
	t.instance = v.Instance()
	switch reply := v.Reply().(type) {
	case call.Response:
		return t.respond(reply)
	case call.Failure:
		return t.fail(reply.Outcome())
	}
	return t.fail(result.NewUnknown(result.Interrupted))
}

// close ends the reading of the request body and releases the context of the request; a streamed
// response releases the context when it ends.
func (t *task) close() {
	if t.body != nil && !t.body.Finish(t.interruptBodyRead) {
		t.closeUnread()
	}
	if !t.streaming {
		t.cancel()
	}
	t.endRequest()
}

// endRequest records that the handler has returned.
func (t *task) endRequest() {
	if t.caller != nil {
		t.caller.endRequest()
	}
}

// maxKeptLines is the number of header lines up to which the server keeps the parsed form of a head for the next request.
const maxKeptLines = 64

// dropHead drops the fields of a large parsed head, which the server would keep with the connection. What is left tells
// the method, the length of the body and whether the connection closes.
func (t *task) dropHead() {
	h := &t.http.Request.Header
	if memory.Lines(h.RawHeaders()) <= maxKeptLines {
		return
	}
	var kept fasthttp.RequestHeader
	kept.SetMethodBytes(h.Method())
	kept.SetRequestURIBytes(h.RequestURI())
	kept.SetHostBytes(h.Host())
	kept.SetProtocolBytes(h.Protocol())
	kept.SetContentLength(h.ContentLength())
	if h.ConnectionClose() {
		kept.SetConnectionClose()
	}
	*h = fasthttp.RequestHeader{}
	kept.CopyTo(h)
}

// closeUnread makes the server close the connection after the response, since the caller may have
// sent input that will not be read.
func (t *task) closeUnread() {
	t.http.Response.Header.SetConnectionClose()
	if t.caller != nil {
		t.caller.markUnread()
	}
}

// interruptBodyRead makes a read of the request body that is in progress fail. The connection
// cannot be used for another request after that and is closed after the response.
func (t *task) interruptBodyRead() {
	if t.caller != nil {
		_ = t.caller.SetReadDeadline(time.Unix(1, 0))
	}
}
