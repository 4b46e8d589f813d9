package target

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
	"verbenabank/core/wire/heads"
)

// Values of fasthttp.ResponseHeader.ContentLength for a body of unknown length.
const (
	chunkedLength  = -1
	identityLength = -2 // the body ends when the target closes the connection
)

// response returns the response with the header h, whose body is read from the connection.
func (x *exchange) response(h *fasthttp.ResponseHeader) call.Reply {
	var fields []call.Field
	for name, value := range h.All() {
		fields = append(fields, call.NewField(string(name), string(value)))
	}
	x.conn.applyKeepAlive(h.Peek("Keep-Alive"))
	length := int64(h.ContentLength())
	b := &responseBody{exchange: x, keepAlive: !h.ConnectionClose(), remaining: length}
	switch {
	case x.request.Method() == fasthttp.MethodHead, hasNoBody(h.StatusCode()):
		b.remaining = 0
	case length == chunkedLength:
		b.chunked = httputil.NewChunkedReader(x.conn.reader)
	case length == identityLength:
		b.keepAlive = false
	}
	if length < 0 {
		length = -1
	}
	return call.NewResponse(h.StatusCode(), fields, b, length)
}

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// responseBody reads the body of a response and ends the exchange.
type responseBody struct {
	exchange  *exchange
	keepAlive bool      // the target keeps the connection open after the body
	remaining int64     // bytes, or one of the lengths above
	chunked   io.Reader // nil unless the body is chunked
	ended     bool
	err       error
}

// Read implements io.Reader. It returns io.EOF only after the complete body.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, b.err
	}
	n, err := b.read(p)
	if err != nil {
		b.finish(err)
		err = b.err
	}
	return n, err
}

func (b *responseBody) read(p []byte) (int, error) {
	r := b.exchange.conn.reader
	if b.chunked != nil {
		n, err := b.chunked.Read(p)
		if err == io.EOF {
			err = skipTrailer(r)
		}
		return n, err
	}
	if b.remaining == identityLength {
		n, err := r.Read(p)
		if err == io.EOF && b.exchange.wasReset() {
			err = io.ErrUnexpectedEOF
		}
		return n, err
	}
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := r.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// skipTrailer discards the trailer after the last chunk. It returns io.EOF if the trailer is complete, sound, and not
// larger than a response header may be.
func skipTrailer(r *bufio.Reader) error {
	trailer, err := heads.AwaitTrailer(r)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	_, _ = r.Discard(trailer.Length()) // it is in the buffer
	return io.EOF
}

// finish ends the exchange. The connection is reused only if request and response are complete.
func (b *responseBody) finish(err error) {
	x := b.exchange
	b.ended = true
	if err != io.EOF {
		x.abort()
		b.err = call.NewError("read response of target", x.failureReason(result.Truncated))
		return
	}
	b.err = io.EOF
	if x.requestSent() && b.keepAlive && x.stopInterrupt() {
		x.conn.recordCarried(hashRequest(x.attempt.RequestID()), x.repeatsUntil())
		x.target.putIdle(x.conn)
		x.attempt.Done()
		return
	}
	x.abort()
}

// wasReset reports whether the end of the input may be that of a connection that was reset. While the request is written,
// the write may have taken the error of the socket, and a read returns the end of the input as after an orderly close.
func (x *exchange) wasReset() bool {
	if x.requestSent() {
		return false
	}
	half, known := x.conn.closedByPeer()
	return !known || !half
}

// requestSent reports whether the request was sent completely.
func (x *exchange) requestSent() bool {
	select {
	case err := <-x.uploadResult:
		x.uploadResult <- err
		return err == nil
	default:
		return false
	}
}

// Close implements io.Closer. It cancels the exchange if the body was not read to its end.
func (b *responseBody) Close() error {
	if !b.ended {
		b.ended = true
		b.err = call.NewError("read response of target", result.Cancelled)
		b.exchange.abort()
	}
	return nil
}
