package front

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/verbenad/adapt/head"
)

const (
	// wholeBytes is the size in bytes up to which an answer is read whole before it is
	// passed on: the target is free sooner, and a broken answer becomes an honest failure.
	wholeBytes = 64 << 10
	copyBytes  = 16 << 10
)

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// refuse answers that the request surely did not run.
func (x *exchange) refuse(reason result.Reason) result.Outcome {
	return x.fail(result.NewRefused(reason, 0))
}

// fail answers that there is no answer of a target. A caller that left gets nothing.
func (x *exchange) fail(o result.Outcome) result.Outcome {
	if x.conn.ctx.Err() != nil || !x.wait() {
		return o
	}
	f := x.conn.front.dialect.ErrorResponse(x.ask.id, o)
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	startLine(b, f.status)
	for _, v := range f.fields {
		field(b, v.Name(), v.Value())
	}
	field(b, fasthttp.HeaderContentType, "text/plain; charset=utf-8")
	last := x.endHead(b, int64(len(f.text)+1))
	if !x.head.IsHead() {
		b.WriteString(f.text)
		b.WriteByte('\n')
	}
	x.write(b, last)
	return o
}

// wait waits until the responses before are written. It reports false if the caller left.
func (x *exchange) wait() bool {
	select {
	case <-x.before:
		return true
	case <-x.conn.ctx.Done():
		return false
	}
}

// answer passes on the answer of a target.
func (x *exchange) answer(ctx context.Context, a call.Response) result.Outcome {
	bodiless := x.head.IsHead() || a.Status() == fasthttp.StatusNoContent || a.Status() == fasthttp.StatusNotModified
	if !bodiless && (a.Length() < 0 || a.Length() > wholeBytes) {
		return x.stream(ctx, a)
	}
	content, err := io.ReadAll(a.Body())
	_ = a.Body().Close()
	if err != nil {
		return x.fail(result.NewUnknown(call.ReasonOf(err)))
	}
	if !x.wait() {
		return result.NewUnknown(result.Cancelled)
	}
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	x.startAnswer(b, a)
	last := x.endHead(b, max(a.Length(), int64(len(content))))
	b.Write(content)
	x.write(b, last)
	return result.NewAnswered(a.Status())
}

// stream passes on an answer piece by piece. One that breaks off ends the connection so
// that it cannot look whole.
func (x *exchange) stream(ctx context.Context, a call.Response) result.Outcome {
	defer func() { _ = a.Body().Close() }()
	chunk := make([]byte, copyBytes)
	n, err := io.ReadFull(a.Body(), chunk)
	if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF {
		return x.fail(result.NewUnknown(call.ReasonOf(err)))
	}
	if !x.wait() {
		return result.NewUnknown(result.Cancelled)
	}
	if end, ok := ctx.Deadline(); ok {
		_ = x.conn.net.SetWriteDeadline(end)
		defer func() { _ = x.conn.net.SetWriteDeadline(time.Time{}) }()
	}
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	x.startAnswer(b, a)
	last := x.endHead(b, a.Length())
	w := &pieces{conn: x.conn, chunked: a.Length() < 0, buffer: b}
	for {
		if n > 0 && !w.put(chunk[:n]) {
			return x.broken(result.Cancelled)
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		if n, err = a.Body().Read(chunk); err != nil && err != io.EOF {
			return x.broken(call.ReasonOf(err))
		}
	}
	x.sent.Store(true)
	if !w.end() {
		return x.broken(result.Cancelled)
	}
	if last {
		x.conn.stop(false)
	}
	return result.NewAnswered(a.Status())
}

// broken ends the connection after a response that is not whole.
func (x *exchange) broken(reason result.Reason) result.Outcome {
	x.conn.front.meter.Add("broken_answers", 1)
	x.conn.stop(true)
	x.conn.cancel()
	return result.NewUnknown(reason)
}

func startLine(b *bytes.Buffer, status int) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(status))
	b.WriteByte(' ')
	b.WriteString(fasthttp.StatusMessage(status))
	b.WriteString("\r\n")
}

func field(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// startAnswer writes the head of a target's answer but for its end.
func (x *exchange) startAnswer(b *bytes.Buffer, a call.Response) {
	startLine(b, a.Status())
	named := head.ConnectionOptions(a.Field(fasthttp.HeaderConnection))
	for _, v := range a.Fields() {
		if head.IsForwarded(v.Name(), named) {
			field(b, v.Name(), v.Value())
		}
	}
}

// endHead writes how the body is framed and whether the connection ends after it.
func (x *exchange) endHead(b *bytes.Buffer, length int64) (last bool) {
	x.begun = true
	last = x.conn.ends(x, x.abandonsBody() || x.head.ConnectionClose() || x.conn.front.leaving.Load())
	if length >= 0 {
		field(b, fasthttp.HeaderContentLength, strconv.FormatInt(length, 10))
	} else {
		field(b, fasthttp.HeaderTransferEncoding, "chunked")
	}
	if last {
		field(b, fasthttp.HeaderConnection, "close")
	}
	b.WriteString("\r\n")
	return last
}

// abandonsBody ends the reading of the body, and reports whether some of it is left.
func (x *exchange) abandonsBody() bool {
	if x.body == nil || x.body.Finish(x.interrupt) {
		return false
	}
	x.cut = true
	x.conn.end(true)
	return true
}

// write sends a whole response.
func (x *exchange) write(b *bytes.Buffer, last bool) {
	x.sent.Store(true)
	if _, err := x.conn.net.Write(b.Bytes()); err != nil {
		x.conn.stop(true)
		x.conn.cancel()
		return
	}
	if last {
		x.conn.stop(false)
	}
}

// pieces sends a response piece by piece, its head with the first one.
type pieces struct {
	conn    *conn
	chunked bool
	buffer  *bytes.Buffer // what was not sent yet
}

func (w *pieces) put(p []byte) bool {
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

func (w *pieces) end() bool {
	if w.chunked {
		w.buffer.WriteString("0\r\n\r\n")
	}
	return w.flush()
}

func (w *pieces) flush() bool {
	_, err := w.conn.net.Write(w.buffer.Bytes())
	w.buffer.Reset()
	return err == nil
}
