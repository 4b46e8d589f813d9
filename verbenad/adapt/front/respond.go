package front

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/adapt/head"
)

const (
	// maxBufferedBytes is the size of the largest response body that is buffered completely before it
	// is forwarded. Buffering frees the target sooner, and a truncated response can still be replaced
	// by an error response.
	maxBufferedBytes = 64 << 10
	// streamChunkBytes is the buffer size for larger bodies and those of unknown length.
	streamChunkBytes = 16 << 10
	// streamBytes is the memory that a streamed response holds: its chunk, the chunk with its framing, and what was
	// received ahead from another daemon.
	streamBytes = 2*streamChunkBytes + 64<<10
	// writeTimeout bounds the time to write a response that was received completely. The deadline is set again once half
	// of it has passed.
	writeTimeout = 2 * clock.Minute
)

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// refuse sends the error response for a request that was not run by any target.
func (x *exchange) refuse(reason result.Reason) result.Outcome {
	return x.fail(result.NewRefused(reason, 0))
}

// fail sends the error response for an outcome without a response of a target, unless the caller has
// disconnected. It returns o.
func (x *exchange) fail(o result.Outcome) result.Outcome {
	if x.conn.ctx.Err() != nil || !x.awaitTurn() {
		return o
	}
	f := x.conn.server.dialect.ErrorResponse(x.info.id, o)
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	writeStatusLine(b, f.status)
	for _, v := range f.fields {
		writeField(b, v.Name(), v.Value())
	}
	writeField(b, fasthttp.HeaderContentType, "text/plain; charset=utf-8")
	last := x.finishHead(b, int64(len(f.text)+1))
	if !x.head.IsHead() {
		b.WriteString(f.text)
		b.WriteByte('\n')
	}
	x.send(b, last)
	return o
}

// awaitTurn waits until all earlier responses are written. It reports false if the caller disconnected.
func (x *exchange) awaitTurn() bool {
	select {
	case <-x.prevDone:
		return true
	case <-x.conn.ctx.Done():
		return false
	}
}

// respond forwards the response of a target to the caller.
func (x *exchange) respond(ctx context.Context, a call.Response) result.Outcome {
	bodiless := x.head.IsHead() || a.Status() == fasthttp.StatusNoContent || a.Status() == fasthttp.StatusNotModified
	if !x.takeFields(a) {
		_ = a.Body().Close()
		return x.fail(result.NewUnknown(result.Interrupted))
	}
	if !bodiless && (a.Length() < 0 || a.Length() > maxBufferedBytes || !x.memory.Take(2*a.Length(), "answers")) {
		return x.stream(ctx, a)
	}
	content, err := io.ReadAll(a.Body())
	_ = a.Body().Close()
	if err != nil {
		return x.fail(result.NewUnknown(call.ReasonOf(err)))
	}
	if !x.awaitTurn() {
		return result.NewUnknown(result.Cancelled)
	}
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	x.writeResponseFields(b, a)
	last := x.finishHead(b, max(a.Length(), int64(len(content))))
	b.Write(content)
	x.send(b, last)
	return result.NewAnswered(a.Status())
}

// takeFields takes the memory for the header fields of a response. A response whose fields are too large to wait for their
// turn is dropped, unless its turn has come.
func (x *exchange) takeFields(a call.Response) bool {
	if len(a.Fields()) <= maxKeptLines || x.memory.Take(fieldsBytes(a.Fields()), "answers") {
		return true
	}
	select {
	case <-x.prevDone:
		return true
	default:
		return false
	}
}

// stream forwards a response body while it is received. If it breaks off, the connection is reset, so
// that the caller cannot take the response for a complete one.
func (x *exchange) stream(ctx context.Context, a call.Response) result.Outcome {
	defer func() { _ = a.Body().Close() }()
	x.memory.Force(streamBytes)
	chunk := make([]byte, streamChunkBytes)
	n, err := io.ReadFull(a.Body(), chunk)
	if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF {
		return x.fail(result.NewUnknown(call.ReasonOf(err)))
	}
	if !x.awaitTurn() {
		return result.NewUnknown(result.Cancelled)
	}
	if end, ok := ctx.Deadline(); ok {
		_ = x.conn.net.SetWriteDeadline(end)
		defer func() {
			_ = x.conn.net.SetWriteDeadline(time.Time{})
			x.conn.writeDeadline.Store(0)
		}()
	}
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	x.writeResponseFields(b, a)
	last := x.finishHead(b, a.Length())
	w := &bodyWriter{conn: x.conn, chunked: a.Length() < 0, buffer: b}
	for {
		if n > 0 && !w.write(chunk[:n]) {
			return x.abort(result.Cancelled)
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		if n, err = a.Body().Read(chunk); err != nil && err != io.EOF {
			return x.abort(call.ReasonOf(err))
		}
	}
	x.sent.Store(true)
	if !w.writeEnd() {
		return x.abort(result.Cancelled)
	}
	if last {
		x.conn.finish(false)
	}
	return result.NewAnswered(a.Status())
}

// abort ends a response that is incomplete.
func (x *exchange) abort(reason result.Reason) result.Outcome {
	x.conn.server.meter.Add("broken_answers", 1)
	x.reset(reason)
	return result.NewUnknown(reason)
}

// reset resets the connection and cancels its other requests, whose responses can't be sent any more.
func (x *exchange) reset(reason result.Reason) {
	if x.conn.ctx.Err() == nil {
		x.conn.server.requestLog.LogReset(reason, func() logrus.Fields {
			f := x.logFields(nil)
			f["in_flight"] = x.conn.inFlight.Load()
			return f
		})
	}
	x.conn.finish(true)
	x.conn.cancel()
}

func writeStatusLine(b *bytes.Buffer, status int) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(status))
	b.WriteByte(' ')
	b.WriteString(fasthttp.StatusMessage(status))
	b.WriteString("\r\n")
}

func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// writeResponseFields writes the status line and the end-to-end header fields of a target's response.
// finishHead adds the framing.
func (x *exchange) writeResponseFields(b *bytes.Buffer, a call.Response) {
	writeStatusLine(b, a.Status())
	options := head.ConnectionOptions(a.Field(fasthttp.HeaderConnection))
	for _, v := range a.Fields() {
		if head.IsForwarded(v.Name(), options) {
			writeField(b, v.Name(), v.Value())
		}
	}
}

// finishHead writes the framing fields and the empty line that ends the head. A negative length means
// the chunked transfer coding. It reports whether the connection is closed after this response.
func (x *exchange) finishHead(b *bytes.Buffer, length int64) (last bool) {
	x.responseStarted = true
	last = x.conn.closesAfter(x, x.abandonBody() || x.head.ConnectionClose() || x.conn.server.keepAlivesDisabled.Load())
	if length >= 0 {
		writeField(b, fasthttp.HeaderContentLength, strconv.FormatInt(length, 10))
	} else {
		writeField(b, fasthttp.HeaderTransferEncoding, "chunked")
	}
	if last {
		writeField(b, fasthttp.HeaderConnection, "close")
	}
	b.WriteString("\r\n")
	return last
}

// abandonBody stops reading the request body and reports whether part of it is unread. The connection
// cannot be reused then.
func (x *exchange) abandonBody() bool {
	if x.body == nil || x.body.Finish(x.interruptRead) {
		return false
	}
	x.bodyAbandoned = true
	x.conn.stopReading(true)
	return true
}

// send writes a complete response; last says that the connection is closed after it.
func (x *exchange) send(b *bytes.Buffer, last bool) {
	x.sent.Store(true)
	x.conn.extendWriteDeadline()
	if _, err := x.conn.net.Write(b.Bytes()); err != nil {
		x.reset(result.Cancelled)
		return
	}
	if last {
		x.conn.finish(false)
	}
}

// extendWriteDeadline gives the next write at least half of writeTimeout.
func (c *conn) extendWriteDeadline() {
	now := c.server.clock.Now()
	if clock.Millis(c.writeDeadline.Load()).Sub(now) >= writeTimeout/2 {
		return
	}
	c.writeDeadline.Store(int64(now + writeTimeout))
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
}

// bodyWriter writes a response in parts. The head is sent with the first part of the body.
type bodyWriter struct {
	conn    *conn
	chunked bool
	buffer  *bytes.Buffer // holds the unsent head at first
}

func (w *bodyWriter) write(p []byte) bool {
	if w.chunked {
		w.buffer.WriteString(strconv.FormatInt(int64(len(p)), 16))
		w.buffer.WriteString("\r\n")
	}
	w.buffer.Write(p)
	if w.chunked {
		w.buffer.WriteString("\r\n")
	}
	return w.flush()
}

func (w *bodyWriter) writeEnd() bool {
	if w.chunked {
		w.buffer.WriteString("0\r\n\r\n")
	}
	return w.flush()
}

func (w *bodyWriter) flush() bool {
	_, err := w.conn.net.Write(w.buffer.Bytes())
	w.buffer.Reset()
	return err == nil
}
