package target

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"verbenabank/core/state/call"
	"verbenabank/core/state/result"
)

const (
	chunkedLength  = -1
	identityLength = -2
)

// answer returns the answer with the head h.
func (x *exchange) answer(h *fasthttp.ResponseHeader) call.Reply {
	var fields []call.Field
	for name, value := range h.All() {
		fields = append(fields, call.NewField(string(name), string(value)))
	}
	x.conn.heed(h.Peek("Keep-Alive"))
	length := int64(h.ContentLength())
	b := &answerBody{exchange: x, keep: !h.ConnectionClose(), left: length}
	switch {
	case x.request.Method() == fasthttp.MethodHead, bodiless(h.StatusCode()):
		b.left = 0
	case length == chunkedLength:
		b.chunks = httputil.NewChunkedReader(x.conn.reader)
	case length == identityLength:
		b.keep = false
	}
	if length < 0 {
		length = -1
	}
	return call.NewResponse(h.StatusCode(), fields, b, length)
}

func bodiless(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// answerBody reads the body of an answer and ends the exchange.
type answerBody struct {
	exchange *exchange
	keep     bool
	left     int64
	chunks   io.Reader
	ended    bool
	err      error
}

// Read returns io.EOF only after a whole body.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, b.err
	}
	n, err := b.read(p)
	if err != nil {
		b.end(err)
		err = b.err
	}
	return n, err
}

func (b *answerBody) read(p []byte) (int, error) {
	r := b.exchange.conn.reader
	if b.chunks != nil {
		n, err := b.chunks.Read(p)
		if err == io.EOF {
			err = skipTrailer(r)
		}
		return n, err
	}
	if b.left == identityLength {
		return r.Read(p)
	}
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// skipTrailer reads what follows the last chunk. It returns io.EOF if it is whole and no
// larger than the head of an answer may be.
func skipTrailer(r *bufio.Reader) error {
	for left := bufferBytes; left > 0; {
		line, err := r.ReadSlice('\n')
		left -= len(line)
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(line) <= 2 {
			return io.EOF
		}
	}
	return bufio.ErrBufferFull
}

// end closes the exchange: the connection is kept only if both bodies were whole.
func (b *answerBody) end(err error) {
	x := b.exchange
	b.ended = true
	if err != io.EOF {
		x.abort()
		b.err = call.NewError("read answer of target", x.reason(result.Truncated))
		return
	}
	b.err = io.EOF
	if x.finished() && b.keep && x.release() {
		x.target.keep(x.conn)
		x.work.Done()
		return
	}
	x.abort()
}

// finished reports whether the request was sent whole.
func (x *exchange) finished() bool {
	select {
	case err := <-x.uploaded:
		return err == nil
	default:
		return false
	}
}

// Close cancels the exchange if the body was not read to its end.
func (b *answerBody) Close() error {
	if !b.ended {
		b.ended = true
		b.err = call.NewError("read answer of target", result.Cancelled)
		b.exchange.abort()
	}
	return nil
}
