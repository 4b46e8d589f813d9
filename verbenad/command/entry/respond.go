package entry

import (
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/core/query/retry"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
)

// wholeBytes is the size of the largest answer that is read whole before its head goes to the
// caller, so that a fault is still reported with a head of its own.
const wholeBytes = 64 << 10

func (t *task) refuse(reason result.Reason) result.Outcome {
	return t.fail(result.NewRefused(reason, 0))
}

// fail writes the response of a request without an answer.
func (t *task) fail(o result.Outcome) result.Outcome {
	r := &t.http.Response
	writeFailure(r, o)
	r.Header.Set(HeaderRequestID, t.id)
	if t.body == nil && t.http.Request.Header.ContentLength() != 0 {
		t.leaveUnread()
	}
	return o
}

// writeFailure writes status, header and a line of text for the outcome.
func writeFailure(r *fasthttp.Response, o result.Outcome) {
	switch o := o.(type) {
	case result.Answered:
	case result.Refused:
		r.SetStatusCode(status(o.Reason(), fasthttp.StatusServiceUnavailable))
		r.Header.Set(HeaderOutcome, "refused")
		r.Header.Set(HeaderReason, string(o.Reason()))
		writeAfter(r, retry.After(o))
		r.SetBodyString("refused, not run: " + string(o.Reason()) + "\n")
	case result.Unknown:
		r.SetStatusCode(status(o.Reason(), fasthttp.StatusBadGateway))
		r.Header.Set(HeaderOutcome, "unknown")
		r.Header.Set(HeaderReason, string(o.Reason()))
		r.SetBodyString("unknown, may have run: " + string(o.Reason()) + "\n")
	}
	r.Header.SetContentType("text/plain; charset=utf-8")
}

// writeAfter tells the caller when to try again, unless that is of no use.
func writeAfter(r *fasthttp.Response, after clock.Millis) {
	if after <= 0 {
		return
	}
	seconds := (after + clock.Second - 1) / clock.Second
	r.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	r.Header.Set(HeaderRetryAfterMs, strconv.FormatInt(int64(after), 10))
}

// status returns the HTTP status of a reason, or otherwise if it has none of its
// own.
func status(reason result.Reason, otherwise int) int {
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
		result.Mismatched:
		return otherwise
	}
	return otherwise
}

// respond writes the target's answer.
func (t *task) respond(a call.Response) result.Outcome {
	if t.body != nil {
		t.body.Finish(t.interrupt)
	}
	bodiless := t.method == fasthttp.MethodHead || a.Status() == fasthttp.StatusNoContent ||
		a.Status() == fasthttp.StatusNotModified
	if bodiless || (a.Length() >= 0 && a.Length() <= wholeBytes) {
		return t.respondWhole(a, bodiless)
	}
	t.writeHead(a)
	t.streamed = true
	_ = t.http.SetWriteDeadline(t.end())
	s := &stream{task: t, body: a.Body(), left: a.Length()}
	t.http.Response.SetBodyStream(s, int(a.Length()))
	return result.NewAnswered(a.Status())
}

// respondWhole reads the answer to its end first.
func (t *task) respondWhole(a call.Response, bodiless bool) result.Outcome {
	content, err := io.ReadAll(a.Body())
	_ = a.Body().Close()
	if err != nil {
		return t.fail(result.NewUnknown(call.ReasonOf(err)))
	}
	t.writeHead(a)
	if bodiless && a.Length() > 0 {
		t.http.Response.SkipBody = true
		t.http.Response.SetBodyStream(eof{}, int(a.Length()))
		return result.NewAnswered(a.Status())
	}
	t.http.Response.SetBodyRaw(content)
	return result.NewAnswered(a.Status())
}

func (t *task) writeHead(a call.Response) {
	r := &t.http.Response
	r.SetStatusCode(a.Status())
	for _, f := range answerFields(a) {
		r.Header.Add(f.Name(), f.Value())
	}
	r.Header.Set(HeaderOutcome, "answered")
	r.Header.Set(HeaderServedBy, t.served)
	r.Header.Set(HeaderRequestID, t.id)
}

// eof is an empty body.
type eof struct{}

// Read returns io.EOF.
func (eof) Read([]byte) (int, error) { return 0, io.EOF }

// stream passes an answer on while it arrives. The last byte of an announced length goes out
// only once the answer is known to be whole.
type stream struct {
	task *task
	body io.ReadCloser
	left int64
	last [1]byte
}

// Read returns io.EOF only after a whole answer; any other end resets the caller's
// connection.
func (s *stream) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if s.left == 1 {
		return s.readLast(p)
	}
	limit := int64(len(p))
	if s.left > 1 {
		limit = min(limit, s.left-1)
	}
	n, err := s.body.Read(p[:limit])
	if s.left > 1 {
		s.left -= int64(n)
	}
	if err == nil || (err == io.EOF && s.left < 0) {
		return n, err
	}
	return n, s.broken(err)
}

// readLast reads the last byte and the end behind it.
func (s *stream) readLast(p []byte) (int, error) {
	if _, err := io.ReadFull(s.body, s.last[:]); err != nil {
		return 0, s.broken(err)
	}
	if _, err := s.body.Read(p[:1]); err != io.EOF {
		return 0, s.broken(err)
	}
	s.left = 0
	p[0] = s.last[0]
	return 1, io.EOF
}

func (s *stream) broken(err error) error {
	if err == nil || err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	s.task.entry.meter.Add("broken_answers", 1)
	if s.task.caller != nil {
		s.task.caller.abort()
	}
	return err
}

// Close cancels the request if its answer was not read to its end.
func (s *stream) Close() error {
	err := s.body.Close()
	s.task.cancel()
	return err
}
