package head

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// WellFormed reports whether the head means the same to every reader. The parser of
// fasthttp takes two things that others refuse or read otherwise: names of fields with
// spaces, and a body with both an announced length and chunks.
func WellFormed(h *fasthttp.RequestHeader) bool {
	for name := range h.All() {
		if !token(name) {
			return false
		}
	}
	return h.ContentLength() >= 0 || !announces(h.RawHeaders())
}

// announces reports whether the raw fields have a Content-Length.
func announces(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte(fasthttp.HeaderContentLength)) {
			return true
		}
	}
	return false
}

// token reports whether the name of a field has only the characters that RFC 9110
// allows.
func token(name []byte) bool {
	for _, c := range name {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		digit := '0' <= c && c <= '9'
		if !letter && !digit && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(name) > 0
}
