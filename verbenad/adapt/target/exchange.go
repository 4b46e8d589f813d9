package target

import (
	"context"
	"errors"
	"io"
	"net/http/httputil"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
)

// exchange is one request with its answer on one connection.
type exchange struct {
	ctx     context.Context
	target  *Target
	conn    *conn
	request call.Request
	release func() bool // stops the watch on ctx
	work    call.Attempt

	upload   conc.WaitGroup
	streamed bool       // the body is sent beside the reading of the answer
	uploaded chan error // gets the result of sending the body, nil if whole

	mu       sync.Mutex
	answered bool // the head of the answer is here
	over     bool
}

func newExchange(ctx context.Context, t *Target, c *conn, r call.Request, w call.Attempt) *exchange {
	x := &exchange{ctx: ctx, target: t, conn: c, request: r, work: w, uploaded: make(chan error, 1)}
	x.release = context.AfterFunc(ctx, x.interrupt)
	return x
}

// interrupt ends what waits for the connection.
func (x *exchange) interrupt() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.over {
		_ = x.conn.SetDeadline(time.Unix(1, 0))
	}
}

// run sends the request and reads the head of the answer.
func (x *exchange) run() call.Reply {
	if x.ctx.Err() != nil {
		return x.fail(result.Expired, result.Interrupted)
	}
	if err := x.send(); err != nil {
		return x.fail(result.Unreachable, result.Interrupted)
	}
	var h fasthttp.ResponseHeader
	h.SetNoDefaultContentType(true)
	for range 1 + interimHeads {
		if err := h.Read(x.conn.reader); err != nil {
			break
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			x.unbound()
			return x.answer(&h)
		}
		h.Reset()
	}
	return x.fail(result.Unreachable, result.Interrupted)
}

// interimHeads is how many heads of interim answers (1xx) may come before the answer.
const interimHeads = 1000

// send sends the head with a small body, or begins to send a large one beside the
// reading of the answer, since a target may answer before it took all.
func (x *exchange) send() error {
	if err := x.writeHead(); err != nil {
		return err
	}
	length := x.request.Length()
	if x.request.Body() != nil && (length < 0 || length > inlineBytes) {
		x.streamed = true
		x.upload.Go(x.sendBody)
		return nil
	}
	if x.request.Body() != nil {
		if err := x.copyBody(); err != nil {
			return err
		}
	}
	if err := x.conn.writer.Flush(); err != nil {
		return err
	}
	x.uploaded <- nil
	return nil
}

func (x *exchange) sendBody() {
	err := x.copyBody()
	x.mu.Lock()
	defer x.mu.Unlock()
	if err != nil && !x.answered && !x.over {
		_ = x.conn.SetReadDeadline(time.Now().Add(grace))
	}
	x.uploaded <- err
}

// unbound lets the answer take as long as the context allows, also if the sending of the
// body failed.
func (x *exchange) unbound() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.answered = true
	_ = x.conn.SetReadDeadline(time.Time{})
	if x.ctx.Err() != nil {
		_ = x.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (x *exchange) writeHead() error {
	var h fasthttp.RequestHeader
	h.SetNoDefaultContentType(true)
	h.SetMethod(x.request.Method())
	h.SetRequestURI(x.request.URI())
	for _, f := range x.request.Fields() {
		h.Add(f.Name(), f.Value())
	}
	if len(h.Host()) == 0 {
		h.SetHost(x.conn.address)
	}
	if x.request.Body() != nil {
		h.SetContentLength(int(x.request.Length()))
	}
	return h.Write(x.conn.writer)
}

const (
	// grace is how long an answer may still come after the sending of the body
	// failed.
	grace = 20 * time.Millisecond
	// inlineBytes is the size of the largest body that is sent before the answer is
	// read.
	inlineBytes = 8 << 10
)

func (x *exchange) copyBody() error {
	w := x.conn.writer
	if x.request.Length() < 0 {
		chunked := httputil.NewChunkedWriter(w)
		if _, err := io.Copy(chunked, x.request.Body()); err != nil {
			return err
		}
		_ = chunked.Close()
		_, _ = w.WriteString("\r\n")
		return w.Flush()
	}
	n, err := io.Copy(w, io.LimitReader(x.request.Body(), x.request.Length()))
	if err != nil {
		return err
	}
	if n < x.request.Length() {
		return &Error{op: "send body", kind: ShortBody}
	}
	return w.Flush()
}

// fail ends the exchange without an answer: refused if no byte was written, else
// unknown.
func (x *exchange) fail(refused, unknown result.Reason) call.Reply {
	x.abort()
	if !x.conn.wrote.Load() {
		if x.ctx.Err() != nil {
			return call.Refuse(result.Expired)
		}
		return call.Refuse(refused)
	}
	return call.Unknown(x.reason(unknown))
}

// reason prefers the end of the context, which is what closed the connection.
func (x *exchange) reason(otherwise result.Reason) result.Reason {
	switch {
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return result.TimedOut
	case x.ctx.Err() != nil:
		return result.Cancelled
	default:
		return otherwise
	}
}

// abort gives the connection up, so that nothing of this exchange can reach another
// one.
func (x *exchange) abort() {
	x.release()
	x.mu.Lock()
	x.over = true
	x.mu.Unlock()
	if x.conn.wrote.Load() || x.streamed {
		x.target.settle(x.conn, x.work)
		return
	}
	x.conn.close()
	x.work.Done()
}
