package front

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// bodyReader returns a reader of the request body and the body's length in bytes, which is -1 for the
// chunked transfer coding. Without a body the reader is nil.
func (c *conn) bodyReader(h *fasthttp.RequestHeader) (io.Reader, int64) {
	switch length := int64(h.ContentLength()); {
	case length > 0:
		return io.LimitReader(c.reader, length), length
	case length == -1:
		return &chunkedReader{reader: c.reader, chunks: httputil.NewChunkedReader(c.reader)}, -1
	}
	return nil, 0
}

// chunkedReader decodes a body in the chunked transfer coding and discards its trailer section.
type chunkedReader struct {
	reader *bufio.Reader
	chunks io.Reader
}

func (b *chunkedReader) Read(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	for {
		line, err := b.reader.ReadSlice('\n')
		if err != nil {
			return n, io.ErrUnexpectedEOF
		}
		if len(line) <= 2 {
			return n, io.EOF
		}
	}
}
