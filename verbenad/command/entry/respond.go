package entry

import (
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/core/query/retry"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/command/memory"
)

// maxBufferedBytes is the largest response that is buffered before its header is sent to the
// caller, so that a truncated response can still be replaced by an error response.
const maxBufferedBytes = 64 << 10

// refuse writes the response of a request that was refused before any attempt.
func (t *task) refuse(reason result.Reason) result.Outcome {
	return t.fail(result.NewRefused(reason, 0))
}

// fail writes an error response with the outcome of a request that the target did not answer.
func (t *task) fail(o result.Outcome) result.Outcome {
	r := &t.http.Response
	writeFailure(r, o)
	r.Header.Set(HeaderRequestID, t.id)
	if t.body == nil && t.http.Request.Header.ContentLength() != 0 {
		t.closeUnread()
	}
	return o
}

// writeFailure writes the status, the header fields and a line of text for the outcome.
func writeFailure(r *fasthttp.Response, o result.Outcome) {
	switch o := o.(type) {
	case result.Answered:
	case result.Refused:
		r.SetStatusCode(statusOf(o.Reason(), fasthttp.StatusServiceUnavailable))
		r.Header.Set(HeaderOutcome, "refused")
		r.Header.Set(HeaderReason, string(o.Reason()))
		writeRetryAfter(r, retry.After(o))
		r.SetBodyString("refused, not run: " + string(o.Reason()) + "\n")
	case result.Unknown:
		r.SetStatusCode(statusOf(o.Reason(), fasthttp.StatusBadGateway))
		r.Header.Set(HeaderOutcome, "unknown")
		r.Header.Set(HeaderReason, string(o.Reason()))
		r.SetBodyString("unknown, may have run: " + string(o.Reason()) + "\n")
	}
	r.Header.SetContentType("text/plain; charset=utf-8")
}

// writeRetryAfter sets the header fields that say when to retry, in seconds rounded up and in
// milliseconds; it sets none if a retry is of no use.
func writeRetryAfter(r *fasthttp.Response, after clock.Millis) {
	if after <= 0 {
		return
	}
	seconds := (after + clock.Second - 1) / clock.Second
	r.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	r.Header.Set(HeaderRetryAfterMs, strconv.FormatInt(int64(after), 10))
}

// statusOf returns the HTTP status of a reason, or fallback if the reason has no status of its own.
func statusOf(reason result.Reason, fallback int) int {
	switch reason {
	case result.BadRequest:
		return fasthttp.StatusBadRequest
	case result.UnknownService, result.UnknownRoute:
		return fasthttp.StatusNotFound
	case result.HeadTooLarge:
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case result.TooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case result.Expired, result.TimedOut:
		return fasthttp.StatusGatewayTimeout
	case result.NotReady, result.NoOwner, result.NotOwner, result.NoTarget, result.Overloaded, result.Shed,
		result.Leaving, result.Unreachable, result.Interrupted, result.Truncated, result.LeaseLapsed, result.Cancelled, result.NotHeld,
		result.Mismatched, result.ZoneDrained:
		return fallback
	}
	return fallback
}

// respond writes the target's response, buffered if it is small, streamed otherwise. It ends the
// reading of the request body, since a target may respond before it has read the body.
func (t *task) respond(a call.Response) result.Outcome {
	if t.body != nil {
		t.body.Finish(t.interruptBodyRead)
	}
	bodiless := t.method == fasthttp.MethodHead || a.Status() == fasthttp.StatusNoContent ||
		a.Status() == fasthttp.StatusNotModified
	t.force(memory.HeadBytes(0, len(a.Fields())))
	if bodiless || (a.Length() >= 0 && a.Length() <= maxBufferedBytes && t.take(2*a.Length())) {
		return t.respondBuffered(a, bodiless)
	}
	t.force(streamBytes)
	t.writeHead(a)
	t.streaming = true
	_ = t.http.SetWriteDeadline(t.connDeadline())
	s := &responseStream{task: t, body: a.Body(), remaining: a.Length()}
	t.http.Response.SetBodyStream(s, int(a.Length()))
	return result.NewAnswered(a.Status())
}

// streamBytes is the memory that a streamed response holds, with what was received ahead from another daemon.
const streamBytes = 96 << 10

// take takes n bytes for the response and reports whether they are granted.
func (t *task) take(n int64) bool { return t.caller == nil || t.caller.request.Take(n, "answers") }

// force takes n bytes that the response holds already.
func (t *task) force(n int64) {
	if t.caller != nil {
		t.caller.request.Force(n)
	}
}

// respondBuffered reads the target's response to its end before it writes the header.
func (t *task) respondBuffered(a call.Response, bodiless bool) result.Outcome {
	content, err := io.ReadAll(a.Body())
	_ = a.Body().Close()
	if err != nil {
		return t.fail(result.NewUnknown(call.ReasonOf(err)))
	}
	t.writeHead(a)
	if bodiless && a.Length() > 0 {
		t.http.Response.SkipBody = true
		t.http.Response.SetBodyStream(emptyBody{}, int(a.Length()))
		return result.NewAnswered(a.Status())
	}
	t.http.Response.SetBodyRaw(content)
	return result.NewAnswered(a.Status())
}

// writeHead writes the status and the header fields of the target's response.
func (t *task) writeHead(a call.Response) {
	r := &t.http.Response
	r.SetStatusCode(a.Status())
	for _, f := range responseFields(a) {
		r.Header.Add(f.Name(), f.Value())
	}
	r.Header.Set(HeaderOutcome, "answered")
	r.Header.Set(HeaderServedBy, t.instance)
	r.Header.Set(HeaderRequestID, t.id)
}

// emptyBody is the body of a response that announces a length but has no body, as one to HEAD.
type emptyBody struct{}

// Read always returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// responseStream streams the body of the target's response to the caller. The last byte of an
// announced length is sent only once the response is known to be complete.
type responseStream struct {
	task      *task
	body      io.ReadCloser
	remaining int64 // bytes up to the announced length, negative if it is unknown
	lastByte  [1]byte
}

// Read returns io.EOF only after a complete response. Any other end resets the caller's
// connection.
func (s *responseStream) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if s.remaining == 1 {
		return s.readLast(p)
	}
	limit := int64(len(p))
	if s.remaining > 1 {
		limit = min(limit, s.remaining-1)
	}
	n, err := s.body.Read(p[:limit])
	if s.remaining > 1 {
		s.remaining -= int64(n)
	}
	if err == nil || (err == io.EOF && s.remaining < 0) {
		return n, err
	}
	return n, s.abort(err)
}

// readLast reads the last byte and makes sure that the body ends after it.
func (s *responseStream) readLast(p []byte) (int, error) {
	if _, err := io.ReadFull(s.body, s.lastByte[:]); err != nil {
		return 0, s.abort(err)
	}
	if _, err := s.body.Read(p[:1]); err != io.EOF {
		return 0, s.abort(err)
	}
	s.remaining = 0
	p[0] = s.lastByte[0]
	return 1, io.EOF
}

// abort resets the caller's connection after a truncated response and returns a non-nil error.
func (s *responseStream) abort(err error) error {
	if err == nil || err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	s.task.server.meter.Add("broken_answers", 1)
	if s.task.caller != nil {
		s.task.caller.reset()
	}
	return err
}

// Close closes the target's response and cancels the request, which ends it at the target if the
// response was not read to its end.
func (s *responseStream) Close() error {
	err := s.body.Close()
	s.task.cancel()
	return err
}
