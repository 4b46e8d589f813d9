package head

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"verbenabank/core/wire/heads"
)

// WellFormed reports whether all HTTP implementations interpret the head in the same way. This guards
// against request smuggling: fasthttp's parser accepts spaces in field names and a message with both
// Content-Length and chunked transfer coding, which others reject or interpret differently.
func WellFormed(h *fasthttp.RequestHeader) bool {
	for name := range h.All() {
		if !heads.IsToken(name) {
			return false
		}
	}
	return h.ContentLength() >= 0 || !hasContentLength(h.RawHeaders())
}

// hasContentLength reports whether the raw header section has a Content-Length field. fasthttp's parsed
// head does not show one beside the chunked transfer coding.
func hasContentLength(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte(fasthttp.HeaderContentLength)) {
			return true
		}
	}
	return false
}
