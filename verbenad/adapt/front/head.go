package front

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"

	"github.com/valyala/fasthttp"

	"verbenabank/core/state/call"
	"verbenabank/verbenad/command/memory"
)

// errNoMemory is the error of a head whose memory is not granted.
var errNoMemory = errors.New("front: no memory for the head of a request")

// receiveHead waits until the head of a request is in the read buffer, and takes the memory that its parsed form costs. Its
// error is errNoMemory, or os.ErrDeadlineExceeded for a head that came too slowly. It reads nothing from the buffer, and
// leaves other errors and heads that are not valid to the parser.
func (c *conn) receiveHead(x *exchange) error {
	for {
		received, _ := c.reader.Peek(c.reader.Buffered())
		if n := headLength(received); n > 0 {
			if !x.memory.Take(memory.RequestBytes+memory.HeadBytes(n, memory.Lines(received[:n])), "requests") {
				return errNoMemory
			}
			return nil
		}
		if len(received) == c.reader.Size() {
			if c.reader.Size() >= readBufferBytes {
				return nil
			}
			if !c.growBuffer() {
				return errNoMemory
			}
			continue
		}
		if _, err := c.reader.Peek(len(received) + 1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			}
			return nil
		}
	}
}

var (
	endOfCRs = []byte("\r\n\r\n")
	endOfLFs = []byte("\n\n")
)

// headLength returns the length of the head at the start of the input, 0 if it is incomplete. A head ends with an empty
// line; empty lines before it belong to it.
func headLength(b []byte) int {
	start := 0
	for start < len(b) && (b[start] == '\r' || b[start] == '\n') {
		start++
	}
	if n := bytes.Index(b[start:], endOfCRs); n >= 0 {
		return start + n + len(endOfCRs)
	}
	if n := bytes.Index(b[start:], endOfLFs); n >= 0 {
		return start + n + len(endOfLFs)
	}
	return 0
}

// growBuffer replaces the full read buffer by one for large heads. It reports false if the memory is not granted.
func (c *conn) growBuffer() bool {
	if !c.share.Take(readBufferBytes, "buffers") {
		return false
	}
	received, _ := c.reader.Peek(c.reader.Buffered())
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(received)), c.net), readBufferBytes)
	_, _ = c.reader.Peek(len(received))
	return true
}

// shrinkBuffer replaces the read buffer for large heads, which must be empty, by a small one.
func (c *conn) shrinkBuffer() {
	if c.reader.Size() > idleBufferBytes {
		c.reader = bufio.NewReaderSize(c.net, idleBufferBytes)
		c.share.Give(readBufferBytes)
	}
}

// maxKeptLines is the number of header lines up to which a parsed head is kept while its request runs.
const maxKeptLines = 64

// dropFields drops the fields of a large parsed head once they are not needed any more. What is left of the head tells the
// method, the host, the path and whether the connection closes after the request.
func (x *exchange) dropFields() {
	if memory.Lines(x.head.RawHeaders()) <= maxKeptLines {
		return
	}
	var h fasthttp.RequestHeader
	h.SetMethodBytes(x.head.Method())
	h.SetRequestURIBytes(x.head.RequestURI())
	h.SetHostBytes(x.head.Host())
	h.SetProtocolBytes(x.head.Protocol())
	if x.head.ConnectionClose() {
		h.SetConnectionClose()
	}
	x.head = fasthttp.RequestHeader{}
	h.CopyTo(&x.head)
}

// fieldsBytes returns the cost of the header fields of a response while it waits for its turn.
func fieldsBytes(fields []call.Field) int64 {
	size := 0
	for _, f := range fields {
		size += len(f.Name()) + len(f.Value())
	}
	return memory.HeadBytes(size, len(fields))
}
