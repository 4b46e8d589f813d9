package entry

import (
	"strings"

	"github.com/valyala/fasthttp"

	"verbenabank/core/state/call"
	"verbenabank/verbenad/adapt/head"
)

// Header fields between callers and the system.
const (
	HeaderOutcome      = "Verbena-Outcome"
	HeaderReason       = "Verbena-Reason"
	HeaderRetryAfterMs = "Verbena-Retry-After-Ms"
	HeaderServedBy     = "Verbena-Served-By"
	HeaderRequestID    = "Verbena-Request-Id"
	HeaderDeadlineMs   = "Verbena-Deadline-Ms"
	HeaderRepeatable   = "Verbena-Repeatable"
	prefix             = "Verbena-"
)

// requestFields returns the header fields that go to the target.
func requestFields(h *fasthttp.RequestHeader, id string) []call.Field {
	named := head.ConnectionOptions(string(h.Peek("Connection")))
	fields := make([]call.Field, 0, h.Len()+1)
	for k, v := range h.All() {
		name := string(k)
		if !head.IsForwarded(name, named) || (foreign(name) && name != HeaderRepeatable) {
			continue
		}
		fields = append(fields, call.NewField(name, string(v)))
	}
	return append(fields, call.NewField(HeaderRequestID, id))
}

// answerFields returns the header fields that go to the caller.
func answerFields(a call.Response) []call.Field {
	named := head.ConnectionOptions(a.Field("Connection"))
	fields := make([]call.Field, 0, len(a.Fields()))
	for _, f := range a.Fields() {
		if head.IsForwarded(f.Name(), named) && !foreign(f.Name()) {
			fields = append(fields, f)
		}
	}
	return fields
}

// foreign reports whether only the system itself may set the field.
func foreign(name string) bool {
	return len(name) >= len(prefix) && strings.EqualFold(name[:len(prefix)], prefix)
}
