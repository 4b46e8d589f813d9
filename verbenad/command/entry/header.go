package entry

import (
	"strings"

	"github.com/valyala/fasthttp"

	"verbenabank/core/state/call"
	"verbenabank/verbenad/adapt/head"
)

// Header fields of requests from callers and of responses to them. HeaderRequestID also goes to
// the target.
const (
	HeaderOutcome      = "Verbena-Outcome"
	HeaderReason       = "Verbena-Reason"
	HeaderRetryAfterMs = "Verbena-Retry-After-Ms"
	HeaderServedBy     = "Verbena-Served-By"
	HeaderRequestID    = "Verbena-Request-Id"
	HeaderDeadlineMs   = "Verbena-Deadline-Ms"
	HeaderRepeatable   = "Verbena-Repeatable"
	headerPrefix       = "Verbena-"
)

// requestFields returns the header fields to forward to the target: without the hop-by-hop fields,
// and without the reserved ones except HeaderRepeatable, but with the request ID.
func requestFields(h *fasthttp.RequestHeader, id string) []call.Field {
	hopByHop := head.ConnectionOptions(string(h.Peek("Connection")))
	fields := make([]call.Field, 0, h.Len()+1)
	for k, v := range h.All() {
		name := string(k)
		if !head.IsForwarded(name, hopByHop) || (reserved(name) && name != HeaderRepeatable) {
			continue
		}
		fields = append(fields, call.NewField(name, string(v)))
	}
	return append(fields, call.NewField(HeaderRequestID, id))
}

// responseFields returns the header fields of the target's response that go to the caller: without
// the hop-by-hop fields and the reserved ones.
func responseFields(a call.Response) []call.Field {
	hopByHop := head.ConnectionOptions(a.Field("Connection"))
	fields := make([]call.Field, 0, len(a.Fields()))
	for _, f := range a.Fields() {
		if head.IsForwarded(f.Name(), hopByHop) && !reserved(f.Name()) {
			fields = append(fields, f)
		}
	}
	return fields
}

// reserved reports whether only the router itself may set the field.
func reserved(name string) bool {
	return len(name) >= len(headerPrefix) && strings.EqualFold(name[:len(headerPrefix)], headerPrefix)
}
