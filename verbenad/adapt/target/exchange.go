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
	"verbenabank/core/wire/heads"
)

// exchange is a request and its response on a connection. The goroutine of the caller runs it; a large
// request body is sent by another one.
type exchange struct {
	ctx           context.Context
	target        *Target
	conn          *conn
	request       call.Request
	stopInterrupt func() bool // stops the call of interrupt at the end of ctx
	attempt       call.Attempt

	upload       conc.WaitGroup
	streamed     bool       // the body is sent while the response is read
	uploadResult chan error // gets the result of sending the body, nil if complete

	mu           sync.Mutex
	headReceived bool
	aborted      bool
}

func newExchange(ctx context.Context, t *Target, c *conn, r call.Request, a call.Attempt) *exchange {
	x := &exchange{ctx: ctx, target: t, conn: c, request: r, attempt: a, uploadResult: make(chan error, 1)}
	x.stopInterrupt = context.AfterFunc(ctx, x.interrupt)
	return x
}

// interrupt makes pending reads and writes of the connection time out.
func (x *exchange) interrupt() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.aborted {
		_ = x.conn.SetDeadline(time.Unix(1, 0))
	}
}

// run sends the request and reads the response header.
func (x *exchange) run() call.Reply {
	if x.ctx.Err() != nil {
		return x.fail(result.Expired, result.Interrupted)
	}
	if err := x.send(); err != nil {
		return x.fail(result.Unreachable, result.Interrupted)
	}
	var h fasthttp.ResponseHeader
	h.SetNoDefaultContentType(true)
	for range 1 + heads.MaxInterimResponses {
		if _, err := heads.Await(x.conn.reader); err != nil || h.Read(x.conn.reader) != nil {
			break
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			x.clearReadDeadline()
			return x.response(&h)
		}
		h.Reset()
	}
	return x.fail(result.Unreachable, result.Interrupted)
}

// send sends the request header and a small body. A large body is sent by another goroutine while the
// response is read, since a target may respond before it has read the whole body. The header doesn't wait for a body that
// arrives slowly, since the decisions of prepare hold for the moment.
func (x *exchange) send() error {
	if err := x.writeHead(); err != nil {
		return err
	}
	length := x.request.Length()
	if x.request.Body() != nil && (length < 0 || length > maxInlineBody) {
		if err := x.conn.writer.Flush(); err != nil {
			return err
		}
		x.streamed = true
		x.upload.Go(x.streamBody)
		return nil
	}
	if x.request.Body() != nil {
		if err := x.sendSmallBody(length); err != nil {
			return err
		}
	}
	if err := x.conn.writer.Flush(); err != nil {
		return err
	}
	x.uploadResult <- nil
	return nil
}

// sendSmallBody writes a body that has usually been received already. If it has not, the header is sent ahead of it.
func (x *exchange) sendSmallBody(length int64) error {
	var mu sync.Mutex // held while the connection is written to
	received := false
	timer := time.AfterFunc(maxHeadDelay, func() {
		mu.Lock()
		defer mu.Unlock()
		if !received {
			_ = x.conn.writer.Flush() // an error is returned by the next write again
		}
	})
	content := make([]byte, length)
	_, err := io.ReadFull(x.request.Body(), content)
	timer.Stop()
	mu.Lock()
	defer mu.Unlock()
	received = true
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return &Error{op: "send body", kind: ShortBody}
	case err != nil:
		return err
	}
	_, err = x.conn.writer.Write(content)
	return err
}

// streamBody sends the body. If that fails before the response header has arrived, it bounds the wait
// for the header by responseGrace.
func (x *exchange) streamBody() {
	err := x.copyBody()
	x.mu.Lock()
	defer x.mu.Unlock()
	if err != nil && !x.headReceived && !x.aborted {
		_ = x.conn.SetReadDeadline(time.Now().Add(responseGrace))
	}
	x.uploadResult <- err
}

// clearReadDeadline lets the response body take as long as the context allows, even if sending the
// request body failed.
func (x *exchange) clearReadDeadline() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.headReceived = true
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
	// maxHeadDelay is how long the header of a request waits for a small body.
	maxHeadDelay = 20 * time.Millisecond
	// responseGrace is how long to wait for a response after sending the body has failed.
	responseGrace = 20 * time.Millisecond
	// maxInlineBody is the size in bytes of the largest body that is sent before the response is
	// read.
	maxInlineBody = 8 << 10
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

// fail ends the exchange without a response. The outcome is refused if no byte was written, and unknown
// otherwise.
func (x *exchange) fail(refused, unknown result.Reason) call.Reply {
	x.abort()
	if !x.conn.wrote.Load() {
		if x.ctx.Err() != nil {
			return call.Refuse(result.Expired)
		}
		return call.Refuse(refused)
	}
	return call.Unknown(x.failureReason(unknown))
}

// failureReason returns how the context ended if it did, since that closed the connection.
func (x *exchange) failureReason(otherwise result.Reason) result.Reason {
	switch {
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return result.TimedOut
	case x.ctx.Err() != nil:
		return result.Cancelled
	default:
		return otherwise
	}
}

const (
	// repeatMargin is how long after its deadline a request may still be repeated: the daemon that took it has
	// a little more time.
	repeatMargin = time.Second
	// maxRequestTime bounds the time of requests without a deadline.
	maxRequestTime = 10 * time.Minute
)

// repeatsUntil returns until when the request may be repeated.
func (x *exchange) repeatsUntil() time.Time {
	if d, ok := x.ctx.Deadline(); ok {
		return d.Add(repeatMargin)
	}
	return time.Now().Add(maxRequestTime)
}

// abort discards the connection, so that no late byte of this exchange can reach another one.
func (x *exchange) abort() {
	x.stopInterrupt()
	x.mu.Lock()
	x.aborted = true
	x.mu.Unlock()
	if x.conn.wrote.Load() || x.streamed {
		x.target.linger(x.conn, x.attempt)
		return
	}
	x.conn.close()
	x.attempt.Done()
}
